/* Which feature of the requests that ran on crashed servers is the cause: its
   servers are lost one after the other, and no request with it is answered.
   Features that were only there at the crashes of another cause ride along
   with it.  */

#include "crashstate.h"

#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

/* Servers that are lost within this time of each other may have one cause that
   is no request, so they are one moment.  */
#define MOMENT_NS (KWF_NS_PER_S / 4)
/* Lost servers (CRASH_CAUSE_SERVERS) and moments that make a feature the
   cause.  One with which a request was answered before has more against it to
   be explained.  */
#define CAUSE_MOMENTS 2
#define CAUSE_SERVERS_FINISHED 5
#define CAUSE_MOMENTS_FINISHED 3
/* It must have been there at one of this many crashes, or have lost more
   servers: where servers end for other reasons, some feature is there at three
   ends by chance.  */
#define CAUSE_PART 2
#define CAUSE_SERVERS_MORE 2
/* Crashes that are kept.  */
#define MAX_CRASHES 256
/* Before a verdict, the others are heard for this time: they may know that a
   request with the feature was answered, or have lost more to another one.  */
#define HEARING_NS (KWF_NS_PER_S / 10)
/* Features of which an instance with a new link is told at most: where many
   servers end, many sound ones have losses until they are answered.  */
#define MAX_SENT 256
/* All instances have had the evidence of a verdict after this time.  */
#define RECENT_NS (1 * KWF_NS_PER_S)

static bool
has_loss (const crash_entry_t *entry, const crash_loss_t *loss)
{
  return crash_has_loss (entry, loss->server, loss->incarnation);
}

/* Whether all losses of PART are those of REQUEST, a request that is held to
   be the cause: it explains more than one of its parts.  */
static bool
is_part_of_cause (const crash_entry_t *request, const crash_entry_t *part)
{
  if (crash_is_part (request->fingerprint)
      || !crash_is_part (part->fingerprint)
      || request->state != CRASH_QUARANTINED)
    return false;
  for (int i = 0; i < part->n_lost; i++)
    if (!has_loss (request, &part->lost[i]))
      return false;
  return true;
}

/* Whether ENTRY was there at each crash of OTHER.  */
static bool
has_losses_of (const crash_entry_t *entry, const crash_entry_t *other)
{
  for (int i = 0; i < other->n_lost; i++)
    if (!has_loss (entry, &other->lost[i]))
      return false;
  return true;
}

/* Whether CAUSE may explain losses of ENTRY: it is held to be the cause, and
   ENTRY was not there at each of its crashes.  If ENTRY was, the evidence does
   not tell the two apart.  A request explains no single losses of a part: of
   several requests that crash servers the part explains more.  */
static bool
is_stronger (const crash_entry_t *cause, const crash_entry_t *entry)
{
  if (cause == entry || cause->state != CRASH_QUARANTINED
      || (crash_is_part (entry->fingerprint)
          && !crash_is_part (cause->fingerprint))
      || has_losses_of (entry, cause))
    return false;
  return !entry->verdict || cause->n_lost > entry->n_lost;
}

/* Marks in EXPLAINED the losses of ENTRY that other causes explain.  */
static void
mark_explained (const crash_t *crash, const crash_entry_t *entry,
                bool explained[CRASH_MAX_LOST])
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      bool all = is_part_of_cause (value, entry);
      bool some = is_stronger (value, entry);
      for (int i = 0; i < entry->n_lost && (all || some); i++)
        explained[i] |= all || has_loss (value, &entry->lost[i]);
    }
}

typedef struct
{
  int servers;
  int moments;
} evidence_t;

/* What is left against ENTRY without that which others explain.  */
static evidence_t
evidence_of (const crash_t *crash, const crash_entry_t *entry)
{
  bool explained[CRASH_MAX_LOST] = { false };
  int last_moment = 0;
  evidence_t evidence = { 0 };
  mark_explained (crash, entry, explained);
  for (int i = 0; i < entry->n_lost; i++)
    {
      if (explained[i])
        continue;
      evidence.servers++;
      evidence.moments += entry->moment_of[i] != last_moment;
      last_moment = entry->moment_of[i];
    }
  return evidence;
}

/* Whether ENTRY was there at so many of the crashes since its first one that
   they are no coincidence.  */
static bool
is_often_there (const crash_t *crash, const crash_entry_t *entry)
{
  int n = 0;
  for (guint i = 0; i < crash->crashes->len; i++)
    n += g_array_index (crash->crashes, crash_seen_t, i).at_ns
         >= entry->first_ns;
  return entry->n_lost * CAUSE_PART >= n;
}

bool
crash_are_apart (const crash_t *crash, const crash_entry_t *entry,
                 const uint64_t *features, size_t n)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const crash_entry_t *rival = value;
      bool held = false;
      for (size_t i = 0; i < n && !held; i++)
        held = features[i] == rival->fingerprint;
      if (!held && rival->n_lost >= CRASH_CAUSE_SERVERS
          && crash_is_part (rival->fingerprint)
          && has_losses_of (rival, entry))
        return true;
    }
  return false;
}

static bool
has_finished (const crash_t *crash, const crash_entry_t *entry)
{
  return entry->finished || crash_has_finished (crash, entry->fingerprint);
}

static bool
is_enough (const crash_t *crash, const crash_entry_t *entry)
{
  bool finished = has_finished (crash, entry);
  evidence_t evidence = evidence_of (crash, entry);
  int servers = finished ? CAUSE_SERVERS_FINISHED : CRASH_CAUSE_SERVERS;
  int moments = finished ? CAUSE_MOMENTS_FINISHED : CAUSE_MOMENTS;
  return evidence.moments >= moments && evidence.servers >= servers
         && (evidence.servers >= servers + CAUSE_SERVERS_MORE
             || is_often_there (crash, entry));
}

bool
crash_is_rider (const crash_t *crash, const crash_entry_t *entry)
{
  /* The evidence may be another instance's.  */
  return entry->n_lost >= CRASH_CAUSE_SERVERS
         && evidence_of (crash, entry).servers < CRASH_CAUSE_SERVERS;
}

static bool
is_cause (const crash_t *crash, const crash_entry_t *entry)
{
  return entry->n_lost >= CRASH_CAUSE_SERVERS && is_enough (crash, entry);
}

static void
drop_verdict (crash_t *crash, crash_entry_t *entry)
{
  entry->state = CRASH_SUSPECT;
  entry->verdict = 0;
  crash->generation++;
  crash_keep_evidence (crash, entry);
}

void
crash_reconsider (crash_t *crash, crash_entry_t *entry)
{
  if (crash->trials || entry->state != CRASH_QUARANTINED
      || is_cause (crash, entry))
    return;
  drop_verdict (crash, entry);
}

/* Drops the verdicts that are void since another feature is held to be the
   cause, or has lost more.  The evidence stays: the other one may turn out to
   be sound.  */
static void
drop_riders (crash_t *crash, int64_t now_ns)
{
  if (!crash->riders_ns)
    return;
  if (now_ns < crash->riders_ns)
    {
      crash_schedule_tick (crash, crash->riders_ns);
      return;
    }
  crash->riders_ns = 0;
  GPtrArray *riders = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const crash_entry_t *entry = value;
      if (entry->state == CRASH_QUARANTINED && crash_is_rider (crash, entry))
        g_ptr_array_add (riders, value);
    }
  for (guint i = 0; i < riders->len; i++)
    drop_verdict (crash, g_ptr_array_index (riders, i));
  g_ptr_array_free (riders, TRUE);
}

/* The losses of one crash arrive one after the other, so the features are
   compared only after a time.  */
static void
schedule_riders (crash_t *crash)
{
  if (!crash->riders_ns)
    crash->riders_ns = crash_now (crash) + HEARING_NS;
  crash_schedule_tick (crash, crash->riders_ns);
}

void
crash_note_crash (crash_t *crash, const crash_loss_t *loss)
{
  crash_seen_t seen
      = { XXH64 (loss->server, strlen (loss->server), loss->incarnation),
          crash_now (crash) };
  for (guint i = 0; i < crash->crashes->len; i++)
    if (g_array_index (crash->crashes, crash_seen_t, i).id == seen.id)
      return;
  if (crash->crashes->len == MAX_CRASHES)
    g_array_remove_index (crash->crashes, 0);
  g_array_append_val (crash->crashes, seen);
}

/* The last loss of ENTRY is of NOW_NS.  */
static void
count_moment (crash_entry_t *entry, int64_t now_ns)
{
  if (entry->n_lost == 1)
    entry->first_ns = now_ns;
  if (!entry->n_moments || now_ns - entry->moment_ns >= MOMENT_NS)
    {
      entry->n_moments++;
      entry->moment_ns = now_ns;
    }
  entry->moment_of[entry->n_lost - 1] = entry->n_moments;
}

static void
give_verdict (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  entry->hearing_ns = 0;
  crash_quarantine (crash, entry, false, effects);
  crash_keep_evidence (crash, entry);
  schedule_riders (crash);
}

/* Hear the others on ENTRY before the verdict, if there is enough evidence. */
static void
begin_hearing (crash_t *crash, crash_entry_t *entry)
{
  if (!entry->hearing_ns && is_cause (crash, entry))
    entry->hearing_ns = crash_now (crash) + HEARING_NS;
  if (entry->hearing_ns)
    crash_schedule_tick (crash, entry->hearing_ns);
}

/* A verdict that explained losses is void: judge the others again.  */
static void
hear_suspects (crash_t *crash)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((crash_entry_t *)value)->state == CRASH_SUSPECT)
      begin_hearing (crash, value);
}

void
crash_judge (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  int64_t now_ns = crash_now (crash);
  crash_note_crash (crash, &entry->lost[entry->n_lost - 1]);
  count_moment (entry, now_ns);
  entry->last_ns = now_ns;
  crash_keep_evidence (crash, entry);
  if (entry->state == CRASH_QUARANTINED && now_ns < entry->until_ns)
    {
      /* The verdict has more weight now.  */
      crash->n_verdicts++;
      crash->generation++;
      schedule_riders (crash);
      return;
    }
  /* A feature whose quarantine has run out needs no more evidence.  */
  if (entry->verdict)
    {
      give_verdict (crash, entry, effects);
      return;
    }
  entry->state = CRASH_SUSPECT;
  crash_set_expiry (crash, entry, now_ns + CRASH_QUARANTINE_NS);
  begin_hearing (crash, entry);
}

void
crash_judge_row (crash_t *crash, crash_entry_t *entry, int64_t until_ns,
                 kwf_effects_t *effects)
{
  if (entry->state == CRASH_QUARANTINED)
    {
      crash->n_verdicts++;
      crash->generation++;
      schedule_riders (crash);
      return;
    }
  entry->state = CRASH_SUSPECT;
  crash_set_expiry (crash, entry, MAX (entry->until_ns, until_ns));
  /* The writer may not know that a request with it was answered.  */
  if (entry->kept.is_held && !has_finished (crash, entry)
      && !crash_is_rider (crash, entry))
    give_verdict (crash, entry, effects);
  else
    begin_hearing (crash, entry);
}

/* One with which a request was answered is judged last: a common part is there
   at the crashes of several causes together, and what they explain does not
   count against it.  */
static bool
is_judged_before (const crash_t *crash, const crash_entry_t *a,
                  const crash_entry_t *b)
{
  bool a_finished = has_finished (crash, a);
  if (a_finished != has_finished (crash, b))
    return !a_finished;
  return a->n_lost != b->n_lost ? a->n_lost > b->n_lost
                                : !crash_is_part (a->fingerprint)
                                      && crash_is_part (b->fingerprint);
}

/* The entry to be judged next of those that have been heard by NOW_NS; NULL:
   there is none.  */
static crash_entry_t *
next_heard (crash_t *crash, int64_t now_ns)
{
  crash_entry_t *next = NULL;
  bool waits = false; /* one that is judged before others is still heard */
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *entry = value;
      if (!entry->hearing_ns)
        continue;
      if (now_ns < entry->hearing_ns)
        {
          crash_schedule_tick (crash, entry->hearing_ns);
          waits |= !has_finished (crash, entry);
        }
      else if (!next || is_judged_before (crash, entry, next))
        next = entry;
    }
  return next && waits && has_finished (crash, next) ? NULL : next;
}

/* End the hearing of ENTRY and of those that are judged together with it;
   returns those that are held to be a cause.  */
static GPtrArray *
end_hearings (crash_t *crash, const crash_entry_t *entry, int64_t now_ns)
{
  GPtrArray *causes = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *other = value;
      if (!other->hearing_ns || now_ns < other->hearing_ns
          || is_judged_before (crash, entry, other))
        continue;
      other->hearing_ns = 0;
      if (is_cause (crash, other))
        g_ptr_array_add (causes, other);
    }
  return causes;
}

void
crash_run_verdicts (crash_t *crash, const session_t *session, int64_t now_ns,
                    kwf_effects_t *effects)
{
  const crash_entry_t *next;
  while ((next = next_heard (crash, now_ns)))
    {
      GPtrArray *causes = end_hearings (crash, next, now_ns);
      for (guint i = 0; i < causes->len; i++)
        {
          crash_entry_t *cause = g_ptr_array_index (causes, i);
          /* Others may have less evidence, or explain it by another
             verdict.  */
          crash_send_message (session, cause->fingerprint, "", KWF_CRASH_CAUSE,
                              effects);
          give_verdict (crash, cause, effects);
        }
      g_ptr_array_free (causes, TRUE);
    }
  drop_riders (crash, now_ns);
  crash_write_evidence (crash, session, now_ns, effects);
}

void
crash_acquit (crash_t *crash, const session_t *session, crash_entry_t *entry,
              kwf_effects_t *effects)
{
  uint64_t fingerprint = entry->fingerprint;
  bool was_cause = entry->state == CRASH_QUARANTINED;
  if (was_cause)
    kwf_effects_log (effects, 306, KWF_LOG_WARNING, NULL,
                     "%s is cleared: a request with it was answered",
                     crash_feature_name (effects, fingerprint));
  crash_clear (crash, entry, effects);
  if (was_cause)
    hear_suspects (crash);
  /* Others may count more losses than this instance.  */
  crash_send_message (session, fingerprint, "", KWF_CRASH_SOUND, effects);
}

void
crash_handle_verdict (crash_t *crash, const session_t *session,
                      const kwf_crash_t *content, kwf_effects_t *effects)
{
  uint64_t fingerprint = content->fingerprint;
  crash_entry_t *entry = crash_find (crash, fingerprint);
  if (content->incarnation == KWF_CRASH_SOUND)
    {
      bool was_cause = entry && entry->state == CRASH_QUARANTINED;
      /* One write is enough to delete the row.  */
      if (entry && entry->wrote_row)
        crash_clear (crash, entry, effects);
      else if (entry)
        crash_remove (crash, entry);
      if (was_cause)
        hear_suspects (crash);
      return;
    }
  if (entry && entry->state == CRASH_QUARANTINED
      && crash_now (crash) < entry->until_ns)
    return;
  /* The sender may not know that a request with it was answered before.  */
  if (crash_has_finished (crash, fingerprint))
    {
      crash_send_message (session, fingerprint, "", KWF_CRASH_REQUEST_FINISHED,
                          effects);
      return;
    }
  give_verdict (crash, crash_find_or_add (crash, fingerprint), effects);
}

static void
send_to (const char *instance, const crash_entry_t *entry, int loss,
         kwf_effects_t *effects)
{
  bool is_loss = loss < entry->n_lost;
  kwf_crash_t *message
      = &session_send (instance, KWF_MSG_CRASH, effects)->crash;
  *message = (kwf_crash_t){
    .fingerprint = entry->fingerprint,
    .server
    = kwf_effects_strdup (effects, is_loss ? entry->lost[loss].server : ""),
    .incarnation = is_loss ? entry->lost[loss].incarnation : KWF_CRASH_CAUSE
  };
}

/* Sends the verdict, if there is one, then the losses: they show the receiver
   what rides along with the cause, and what is short of a verdict.  Returns
   whether there was anything to send.  */
static bool
send_evidence (const crash_t *crash, const char *instance,
               const crash_entry_t *entry, kwf_effects_t *effects)
{
  bool is_held = crash_is_held (crash, entry->fingerprint);
  if (!is_held && (!entry->n_lost || crash_now (crash) >= entry->until_ns))
    return false;
  if (is_held)
    send_to (instance, entry, entry->n_lost, effects);
  for (int i = 0; i < entry->n_lost; i++)
    send_to (instance, entry, i, effects);
  return true;
}

void
crash_send_verdicts (crash_t *crash, const char *instance,
                     uint64_t fingerprint, kwf_effects_t *effects)
{
  if (fingerprint)
    {
      const crash_entry_t *entry = crash_find (crash, fingerprint);
      if (crash_now (crash) - entry->verdict_ns >= RECENT_NS)
        send_to (instance, entry, entry->n_lost, effects);
      return;
    }
  int n = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (n < MAX_SENT && g_hash_table_iter_next (&iter, NULL, &value))
    n += send_evidence (crash, instance, value, effects);
}
