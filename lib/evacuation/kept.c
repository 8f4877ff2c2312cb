#include "kept.h"

#include "../restored.h"
#include "../revision.h"

typedef struct
{
  bool in_force;
  bool shown;       /* the store has the row */
  int64_t revision; /* of the row, or of the last one */
  int64_t until_ns; /* IN_FORCE holds against the store; 0: they agree */
} evacuation_row_t;

struct kept
{
  int64_t revision; /* of the last event */
  /* Name of a data centre -> evacuation_row_t.  Those of lifted evacuations
     stay: a copy may still have them.  */
  GHashTable *rows;
};

kept_t *
kept_new (void)
{
  kept_t *kept = g_new0 (kept_t, 1);
  kept->rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return kept;
}

void
kept_free (kept_t *kept)
{
  if (!kept)
    return;
  g_hash_table_unref (kept->rows);
  g_free (kept);
}

static evacuation_row_t *
find_row (kept_t *kept, const char *name)
{
  evacuation_row_t *row = g_hash_table_lookup (kept->rows, name);
  if (row)
    return row;
  row = g_new0 (evacuation_row_t, 1);
  g_hash_table_insert (kept->rows, g_strdup (name), row);
  return row;
}

/* What the store says of one data centre.  */
typedef struct
{
  const char *name;
  int64_t revision; /* of its row; 0: there is none */
  bool later_era;   /* than that of the event before */
  int64_t now_ns;
} report_t;

/* Whether REPORT may be older than what is known.  */
static bool
may_be_copied (const evacuation_row_t *row, const report_t *report)
{
  if (!report->later_era)
    return false;
  return !report->revision
         || revision_version (report->revision)
                <= revision_version (row->revision);
}

static void
hold (evacuation_row_t *row, const report_t *report, kwf_effects_t *effects)
{
  row->until_ns = report->now_ns + RESTORED_HOLD_NS;
  kwf_effects_log (effects, 278, KWF_LOG_WARNING, NULL,
                   "the store came back from an older copy; data centre %s "
                   "stays %s until the operator has written again",
                   report->name, row->in_force ? "evacuated" : "in use");
}

static void
apply_report (evacuation_row_t *row, const report_t *report,
              kwf_effects_t *effects)
{
  bool shown = report->revision != 0;
  bool written
      = shown != row->shown || (shown && report->revision != row->revision);
  if (shown != row->in_force && may_be_copied (row, report))
    hold (row, report, effects);
  else if (written || report->now_ns >= row->until_ns)
    row->in_force = shown;
  if (shown == row->in_force)
    row->until_ns = 0;
  row->shown = shown;
  if (shown)
    row->revision = report->revision;
}

GHashTable *
kept_apply (kept_t *kept, const kwf_evacuations_event_t *event, int64_t now_ns,
            kwf_effects_t *effects)
{
  GHashTable *revisions = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < event->n; i++)
    {
      find_row (kept, event->data_centres[i]);
      g_hash_table_insert (revisions, (void *)event->data_centres[i],
                           (void *)&event->revisions[i]);
    }
  bool later_era
      = kept->revision
        && revision_era (event->revision) > revision_era (kept->revision);
  kept->revision = MAX (kept->revision, event->revision);

  GHashTable *in_force
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer row;
  g_hash_table_iter_init (&iter, kept->rows);
  while (g_hash_table_iter_next (&iter, &name, &row))
    {
      const int64_t *revision = g_hash_table_lookup (revisions, name);
      report_t report = { .name = name,
                          .revision = revision ? *revision : 0,
                          .later_era = later_era,
                          .now_ns = now_ns };
      apply_report (row, &report, effects);
      if (((evacuation_row_t *)row)->in_force)
        g_hash_table_add (in_force, g_strdup (name));
    }
  g_hash_table_unref (revisions);
  return in_force;
}
