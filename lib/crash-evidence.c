/* The rows crash/seen/FEATURE: the losses of a feature, and whether it is held
   to be their cause.  Each instance knows them from messages; the rows are for
   those that start after all who knew have ended.  */

#include "crashstate.h"

#include <stdlib.h>
#include <string.h>

#include "write-gap.h"

/* An instance that found one of the losses writes the row after this time, at
   random within the spread: most sound features are answered until then, and
   most instances that found a loss find the row written.  The others write it
   if none of those has.  */
#define ROW_DELAY_NS (KWF_NS_PER_S / 4)
#define ROW_SPREAD_NS (KWF_NS_PER_S / 2)
#define ROW_DELAY_OTHERS_NS (2 * KWF_NS_PER_S)
#define ROW_SPREAD_OTHERS_NS (2 * KWF_NS_PER_S)

static bool
is_held (const crash_entry_t *entry)
{
  return entry->state == CRASH_QUARANTINED;
}

static bool
has_finished (const crash_t *crash, const crash_entry_t *entry)
{
  return entry->finished || crash_has_finished (crash, entry->fingerprint);
}

/* A verdict that was dropped stays in the row: which cause explains the losses
   is for each reader to see, and two instances that see it differently would
   write in turn.  */
static bool
needs_row (const crash_t *crash, const crash_entry_t *entry)
{
  const crash_kept_t *kept = &entry->kept;
  return entry->n_lost > kept->n_lost || entry->n_proofs > kept->n_proofs
         || (entry->n_lost && is_held (entry) && !kept->is_held)
         || (kept->is_held && !kept->finished && has_finished (crash, entry));
}

void
crash_keep_evidence (crash_t *crash, crash_entry_t *entry)
{
  if (crash->trials || entry->row_ns || entry->writes_row
      || !needs_row (crash, entry))
    return;
  uint64_t random;
  crash->random->ops->fill (crash->random, &random, sizeof random);
  int64_t delay_ns
      = entry->seen_here
            ? ROW_DELAY_NS + (int64_t)(random % ROW_SPREAD_NS)
            : ROW_DELAY_OTHERS_NS + (int64_t)(random % ROW_SPREAD_OTHERS_NS);
  entry->row_ns = crash_now (crash) + delay_ns;
  crash_schedule_tick (crash, entry->row_ns);
}

static void
write_row (crash_t *crash, crash_entry_t *entry, kwf_effects_t *effects)
{
  entry->row_ns = 0;
  entry->writes_row = true;
  entry->finished = has_finished (crash, entry);
  crash_write_row (crash, entry,
                   crash_row_text (crash, entry,
                                   is_held (entry) ? "quarantined" : "suspect",
                                   entry->until_ns),
                   effects);
}

/* Whether the row of A matters more than that of B: the verdicts, then what is
   closest to one.  */
static bool
matters_more (const crash_entry_t *a, const crash_entry_t *b)
{
  if (is_held (a) != is_held (b))
    return is_held (a);
  if (a->n_lost != b->n_lost)
    return a->n_lost > b->n_lost;
  /* At random, so that instances write different rows.  */
  return a->row_ns < b->row_ns;
}

/* The entry whose row is due and matters most; NULL: none is due.  */
static crash_entry_t *
next_due (const crash_t *crash, int64_t now_ns, int64_t *later_ns)
{
  crash_entry_t *best = NULL;
  GHashTableIter iter;
  gpointer value;
  *later_ns = INT64_MAX;
  g_hash_table_iter_init (&iter, crash->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      crash_entry_t *entry = value;
      if (!entry->row_ns)
        continue;
      if (now_ns < entry->row_ns)
        *later_ns = MIN (*later_ns, entry->row_ns);
      else if (!needs_row (crash, entry))
        entry->row_ns = 0;
      else if (!best || matters_more (entry, best))
        best = entry;
    }
  return best;
}

void
crash_write_evidence (crash_t *crash, const session_t *session, int64_t now_ns,
                      kwf_effects_t *effects)
{
  int64_t later_ns;
  crash_entry_t *entry = next_due (crash, now_ns, &later_ns);
  bool any = entry || !g_queue_is_empty (&crash->removals);
  if (any && now_ns >= crash->evidence_ns)
    {
      if (entry)
        write_row (crash, entry, effects);
      else
        crash_send_write (crash, g_queue_pop_head (&crash->removals), effects);
      crash->evidence_ns
          = now_ns + write_gap_ns (session_count_members (session));
    }
  if (any)
    later_ns = crash->evidence_ns;
  if (later_ns < INT64_MAX)
    crash_schedule_tick (crash, MAX (later_ns, crash->evidence_ns));
}

static void
remove_row (crash_t *crash, uint64_t feature, int64_t version)
{
  crash_write_t *write = g_new0 (crash_write_t, 1);
  write->fingerprint = feature;
  write->version = version;
  g_queue_push_tail (&crash->removals, write);
  crash_schedule_tick (crash, crash->evidence_ns);
}

void
crash_remove_evidence (crash_t *crash, const crash_entry_t *entry)
{
  if (entry->version)
    remove_row (crash, entry->fingerprint, entry->version);
}

/* Another instance has removed the row of FEATURE.  */
static void
drop_removal (crash_t *crash, uint64_t feature)
{
  for (GList *link = crash->removals.head; link; link = link->next)
    {
      crash_write_t *write = link->data;
      if (write->fingerprint != feature)
        continue;
      g_queue_delete_link (&crash->removals, link);
      crash_write_free (write);
      return;
    }
}

/* Moment of ENTRY's own count that has the losses of MOMENT of ROW.  */
static int
moment_in_entry (crash_entry_t *entry, const crashrow_t *row, int moment)
{
  for (int i = 0; i < row->n_lost; i++)
    for (int j = 0; row->moment_of[i] == moment && j < entry->n_lost; j++)
      if (strcmp (entry->lost[j].server, row->lost[i].server) == 0
          && entry->lost[j].incarnation == row->lost[i].incarnation)
        return entry->moment_of[j];
  return ++entry->n_moments;
}

static void
merge_row (crash_t *crash, crash_entry_t *entry, const crashrow_t *row)
{
  for (int i = 0; i < row->n_lost && entry->n_lost < CRASH_MAX_LOST; i++)
    {
      const crash_loss_t *loss = &row->lost[i];
      if (crash_has_loss (entry, loss->server, loss->incarnation))
        continue;
      if (!entry->n_lost)
        entry->first_ns = crash_now (crash);
      int moment = moment_in_entry (entry, row, row->moment_of[i]);
      entry->moment_of[entry->n_lost] = moment;
      entry->lost[entry->n_lost++]
          = (crash_loss_t){ g_strdup (loss->server), loss->incarnation };
      entry->moment_ns = entry->last_ns = crash_now (crash);
      crash_note_crash (crash, loss);
    }
}

typedef struct
{
  crash_t *crash;
  uint64_t feature;
  int64_t version;
  kwf_effects_t *effects;
} row_context_t;

static void
apply_parsed (const crashrow_t *row, void *data)
{
  const row_context_t *context = data;
  crash_t *crash = context->crash;
  crash_entry_t *entry = crash_find (crash, context->feature);
  if (!entry && g_hash_table_size (crash->entries) >= CRASH_MAX_ENTRIES)
    return;
  if (!entry)
    entry = crash_find_or_add (crash, context->feature);
  entry->version = context->version;
  entry->kept
      = (crash_kept_t){ .n_lost = row->n_lost,
                        .n_proofs = row->n_proofs,
                        .is_held = strcmp (row->state, "quarantined") == 0,
                        .finished = row->finished };
  entry->wrote_row = false;
  entry->finished |= row->finished;
  merge_row (crash, entry, row);
  crash_add_proof (crash, entry, row->n_proofs);
  int64_t left_ns = CLAMP (row->for_ms, 0, CRASH_QUARANTINE_NS / KWF_NS_PER_MS)
                    * KWF_NS_PER_MS;
  crash_judge_row (crash, entry, crash_now (crash) + left_ns,
                   context->effects);
  crash_keep_evidence (crash, entry);
}

void
crash_apply_evidence (crash_t *crash, const kwf_row_t *row,
                      kwf_effects_t *effects)
{
  if (!g_str_has_prefix (row->key, CRASH_EVIDENCE_PREFIX))
    return;
  uint64_t feature
      = g_ascii_strtoull (row->key + strlen (CRASH_EVIDENCE_PREFIX), NULL, 16);
  const crash_entry_t *entry = crash_find (crash, feature);
  if (entry && row->version && row->version <= entry->version)
    return;
  if (row->value)
    {
      row_context_t context = { crash, feature, row->version, effects };
      crashrow_read (row->value, apply_parsed, &context);
    }
  else
    {
      drop_removal (crash, feature);
      /* The feature was answered, or its time is over.  */
      if (entry && entry->version)
        crash_remove (crash, entry);
    }
}

static void
row_committed (crash_t *crash, const crash_write_t *write, int64_t version)
{
  crash_entry_t *entry = crash_find (crash, write->fingerprint);
  if (write->value && (!entry || !entry->writes_row))
    {
      /* The feature was cleared meanwhile.  */
      remove_row (crash, write->fingerprint, version);
      return;
    }
  if (!entry || !write->value || version < entry->version)
    return;
  entry->version = version;
  entry->kept = write->kept;
  entry->wrote_row = true;
}

void
crash_evidence_written (crash_t *crash, crash_write_t *write,
                        const kwf_store_reply_t *reply, kwf_effects_t *effects)
{
  bool failed = reply->outcome == KWF_STORE_FAILED
                || reply->outcome == KWF_STORE_UNKNOWN;
  if (failed)
    crash->evidence_ns
        = MAX (crash->evidence_ns, crash_now (crash) + CRASH_WRITE_RETRY_NS);
  /* Whether a row is still to be written shows when it is due again.  */
  if (failed && !write->value && write->tries < CRASH_WRITE_TRIES)
    {
      g_queue_push_tail (&crash->removals, write);
      crash_schedule_tick (crash, crash->evidence_ns);
      return;
    }
  if (reply->outcome == KWF_STORE_COMMITTED)
    row_committed (crash, write, reply->revision);
  if (reply->outcome == KWF_STORE_CONFLICT)
    for (size_t i = 0; i < reply->n_conflicts; i++)
      crash_apply_evidence (crash, &reply->conflicts[i], effects);
  crash_entry_t *entry = crash_find (crash, write->fingerprint);
  if (entry && write->value)
    {
      entry->writes_row = false;
      crash_keep_evidence (crash, entry);
    }
  crash_write_free (write);
}
