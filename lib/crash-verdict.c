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
/* Lost servers and moments that make a feature the cause.  One with which a
   request was answered before has more against it to be explained.  */
#define CAUSE_SERVERS 4
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
/* A verdict on a part that stands for this time is written to the table: it
   outlives the instances that know it, as others bring the part again.  */
#define ROW_DELAY_NS (1 * KWF_NS_PER_S)
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

/* Whether CAUSE may explain losses of ENTRY: it is held to be the cause with
   more evidence, or was before.  A request explains no single losses of a
   part: of several requests that crash servers the part explains more.  */
static bool
is_stronger (const crash_entry_t *cause, const crash_entry_t *entry)
{
  if (cause == entry || cause->state != CRASH_QUARANTINED
      || (crash_is_part (entry->fingerprint)
          && !crash_is_part (cause->fingerprint)))
    return false;
  return !entry->verdict || cause->n_lost > entry->n_lost
         || (cause->n_lost == entry->n_lost
             && cause->verdict < entry->verdict);
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
  int servers = finished ? CAUSE_SERVERS_FINISHED : CAUSE_SERVERS;
  int moments = finished ? CAUSE_MOMENTS_FINISHED : CAUSE_MOMENTS;
  return evidence.moments >= moments && evidence.servers >= servers
         && (evidence.servers >= servers + CAUSE_SERVERS_MORE
             || is_often_there (crash, entry));
}

bool
crash_is_rider (const crash_t *crash, const crash_entry_t *entry)
{
  /* The evidence may be another instance's.  */
  return entry->n_lost >= CAUSE_SERVERS
         && evidence_of (crash, entry).servers < CAUSE_SERVERS;
}

static bool
is_cause (const crash_t *crash, const crash_entry_t *entry)
{
  return entry->n_lost >= CAUSE_SERVERS && is_enough (crash, entry);
}

void
crash_reconsider (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  if (crash->trials || entry->state != CRASH_QUARANTINED
      || is_cause (crash, entry))
    return;
  entry->state = CRASH_SUSPECT;
  entry->verdict = 0;
  crash->generation++;
  if (entry->version)
    crash_write_row (crash, entry, NULL, effects);
}

/* Clears the features whose verdicts are void since another one is held to be
   the cause, or has lost more.  */
static void
clear_riders (crash_t *crash, kwf_effects_t *effects)
{
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
    crash_clear (crash, g_ptr_array_index (riders, i), effects);
  g_ptr_array_free (riders, TRUE);
}

/* The process INCARNATION of SERVER has crashed.  */
static void
note_crash (crash_t *crash, const crash_loss_t *loss, int64_t now_ns)
{
  crash_seen_t seen
      = { XXH64 (loss->server, strlen (loss->server), loss->incarnation),
          now_ns };
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
  if (entry->seen_here && crash_is_part (entry->fingerprint))
    entry->row_ns = crash_now (crash) + ROW_DELAY_NS;
  crash_quarantine (crash, entry, false, effects);
  crash_schedule_tick (crash, crash_now (crash) + ROW_DELAY_NS);
  clear_riders (crash, effects);
}

void
crash_judge (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  int64_t now_ns = crash_now (crash);
  note_crash (crash, &entry->lost[entry->n_lost - 1], now_ns);
  count_moment (entry, now_ns);
  crash->generation++;
  if (entry->state == CRASH_QUARANTINED && now_ns < entry->until_ns)
    {
      clear_riders (crash, effects);
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
  if (!entry->hearing_ns && is_cause (crash, entry))
    entry->hearing_ns = now_ns + HEARING_NS;
  if (entry->hearing_ns)
    crash_schedule_tick (crash, entry->hearing_ns);
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

static void
write_rows (crash_t *crash, int64_t now_ns, kwf_effects_t *effects)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *entry = value;
      if (!entry->row_ns || entry->state != CRASH_QUARANTINED)
        continue;
      if (now_ns < entry->row_ns)
        {
          crash_schedule_tick (crash, entry->row_ns);
          continue;
        }
      entry->row_ns = 0;
      if (!entry->version)
        crash_write_row (
            crash, entry,
            crash_row_text (crash, entry, "quarantined", entry->until_ns),
            effects);
    }
}

void
crash_run_verdicts (crash_t *crash, const session_t *session, int64_t now_ns,
                    kwf_effects_t *effects)
{
  crash_entry_t *entry;
  while ((entry = next_heard (crash, now_ns)))
    {
      entry->hearing_ns = 0;
      if (!is_cause (crash, entry))
        continue;
      /* Others may have less evidence, or explain it by another verdict.  */
      crash_send_message (session, entry->fingerprint, "", KWF_CRASH_CAUSE,
                          effects);
      give_verdict (crash, entry, effects);
    }
  write_rows (crash, now_ns, effects);
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
      if (entry)
        crash_clear (crash, entry, effects);
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
  crash_quarantine (crash, crash_find_or_add (crash, fingerprint), false,
                    effects);
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

/* Sends the verdict, then the losses: they show the receiver what rides along
   with the cause.  */
static void
send_verdict (crash_t *crash, const char *instance, const crash_entry_t *entry,
              kwf_effects_t *effects)
{
  if (entry->state != CRASH_QUARANTINED
      || crash_state (crash, entry->fingerprint) != CRASH_QUARANTINED)
    return;
  send_to (instance, entry, entry->n_lost, effects);
  for (int i = 0; i < entry->n_lost; i++)
    send_to (instance, entry, i, effects);
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
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_verdict (crash, instance, value, effects);
}
