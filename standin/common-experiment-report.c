/* The figures of an experiment as JSON, as a table and as a plot.  */

#include "common-experiment.h"

#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <stdlib.h>

static const char *const class_names[N_CLASSES]
    = { "urgent", "interactive", "overnight" };

static double
share (uint64_t part, uint64_t whole)
{
  return whole ? (double)part / (double)whole : 0;
}

/* Requests inside that were refused because of the rate limit while others
   were served in their place.  */
static uint64_t
served_instead (const experiment_count_t *count)
{
  return MIN (count->served_outside, count->rate_limited);
}

static uint64_t
count_attained (const experiment_count_t *count)
{
  return count->attained
         + MIN (count->attained_outside, served_instead (count));
}

static json_t *
quantiles (GArray *values)
{
  double *data = (double *)(void *)values->data;
  gsl_sort (data, 1, values->len);
  static const double levels[] = { 0.5, 0.95, 0.99 };
  static const char *const names[] = { "p50", "p95", "p99" };
  json_t *object = json_object ();
  for (int i = 0; i < 3; i++)
    json_object_set_new (object, names[i],
                         values->len
                             ? json_real (gsl_stats_quantile_from_sorted_data (
                                 data, 1, values->len, levels[i]))
                             : json_null ());
  return object;
}

static json_t *
count_json (const experiment_count_t *count)
{
  return json_pack (
      "{sI sI sf sI sI sI sI sI so so}", "sent", (json_int_t)count->sent,
      "inside_rate", (json_int_t)count->inside_rate, "attainment",
      share (count_attained (count), count->inside_rate), "refused",
      (json_int_t)(count->refused - served_instead (count)), "rate_limited",
      (json_int_t)(count->rate_limited - served_instead (count)), "failed",
      (json_int_t)count->failed, "unfinished", (json_int_t)count->unfinished,
      "served_outside_rate", (json_int_t)count->served_outside, "first_ms",
      quantiles (count->first_ms), "between_ms",
      quantiles (count->between_ms));
}

/* Attainment of the organisations: that of the worst one, and its ratio to the
   mean.  */
static void
add_worst (const experiment_t *experiment, json_t *figures)
{
  double sum = 0;
  double worst = 1;
  guint n = 0;
  const char *name = "";
  json_t *all = json_object ();
  for (guint i = 0; i < experiment->organisations->len; i++)
    {
      const experiment_organisation_t *organisation = &g_array_index (
          experiment->organisations, experiment_organisation_t, i);
      const experiment_count_t *count = &organisation->count;
      json_object_set_new (all, organisation->organisation->name,
                           count_json (count));
      if (!count->inside_rate)
        continue;
      double attainment = share (count_attained (count), count->inside_rate);
      sum += attainment;
      n++;
      if (attainment < worst || !name[0])
        {
          worst = attainment;
          name = organisation->organisation->name;
        }
    }
  double mean = n ? sum / n : 0;
  json_object_set_new (figures, "organisations", all);
  json_object_set_new (figures, "worst_organisation", json_string (name));
  json_object_set_new (figures, "worst_attainment", json_real (worst));
  json_object_set_new (figures, "worst_to_mean",
                       json_real (mean > 0 ? worst / mean : 0));
}

static json_t *
engines_json (const experiment_t *experiment)
{
  sim_stats_t sum = { 0 };
  for (guint i = 0; i < experiment->engine_sims->len; i++)
    {
      const sim_stats_t *stats
          = sim_stats (g_ptr_array_index (experiment->engine_sims, i));
      sum.memory_excesses += stats->memory_excesses;
      sum.busy_s += stats->busy_s;
      sum.cached += stats->cached;
      sum.prompt += stats->prompt;
      sum.n_adapter_loads += stats->n_adapter_loads;
      sum.peak_mb = MAX (sum.peak_mb, stats->peak_mb);
    }
  double total_s = (double)(experiment->end_ns - experiment->start_ns) / 1e9
                   * experiment->engine_sims->len;
  return json_pack ("{sf sf sf si si}", "busy",
                    total_s > 0 ? sum.busy_s / total_s : 0.0, "cached",
                    sum.prompt > 0 ? sum.cached / sum.prompt : 0.0, "most_mb",
                    sum.peak_mb, "memory_excesses", sum.memory_excesses,
                    "adapter_loads", sum.n_adapter_loads);
}

json_t *
experiment_json (const experiment_t *experiment)
{
  uint64_t sent = 0;
  uint64_t inside_rate = 0;
  uint64_t met = 0;
  uint64_t refused = 0;
  uint64_t limited = 0;
  json_t *classes = json_object ();
  for (int i = 0; i < N_CLASSES; i++)
    {
      const experiment_count_t *count = &experiment->classes[i];
      sent += count->sent;
      inside_rate += count->inside_rate;
      met += count_attained (count);
      refused += count->refused - served_instead (count);
      limited += count->rate_limited - served_instead (count);
      json_object_set_new (classes, class_names[i], count_json (count));
    }
  json_object_set_new (classes, "service", count_json (&experiment->services));
  double n = experiment->engine_sims->len;
  double hours = (double)(experiment->end_ns - experiment->start_ns) / 3.6e12;
  json_t *figures = json_pack (
      "{ss sI sf si sI sI sf sf sf si sf sf}", "policy",
      experiment->options.policy, "seed", (json_int_t)experiment->options.seed,
      "minutes", hours * 60, "accelerators", (int)n, "requests",
      (json_int_t)sent, "requests_inside_rate", (json_int_t)inside_rate,
      "attainment", share (met, inside_rate), "attainment_per_accelerator",
      share (met, inside_rate) / n, "attained_per_accelerator_hour",
      (double)met / n / hours, "model_moves", experiment->store.n_loads,
      "refused_inside_rate", share (refused, inside_rate),
      "rate_limited_inside_rate", share (limited, inside_rate));
  add_worst (experiment, figures);
  json_object_set_new (figures, "classes", classes);
  json_object_set_new (figures, "engines", engines_json (experiment));
  json_t *error_codes = json_object ();
  GHashTableIter iter;
  gpointer code;
  gpointer number;
  g_hash_table_iter_init (&iter, experiment->error_codes);
  while (g_hash_table_iter_next (&iter, &code, &number))
    json_object_set_new (error_codes, code,
                         json_integer (GPOINTER_TO_INT (number)));
  json_object_set_new (figures, "errors_inside_rate", error_codes);
  json_object_set_new (figures, "processor_s", json_real (experiment->cpu_s));
  return figures;
}

/* The table.  */

static double
real_of (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

static void
add_rows (GString *text, const json_t *objects)
{
  g_string_append (text,
                   "                     sent  attained  refused   first "
                   "token ms p50/p95/p99     between tokens ms\n");
  const char *name;
  json_t *row;
  json_object_foreach ((json_t *)objects, name, row)
  {
    const json_t *first = json_object_get (row, "first_ms");
    const json_t *between = json_object_get (row, "between_ms");
    g_string_append_printf (
        text,
        "  %-14s %8.0f   %6.2f%%  %6.2f%%   %7.0f %8.0f %8.0f    %6.1f "
        "%6.1f %6.1f\n",
        name, real_of (row, "sent"), 100 * real_of (row, "attainment"),
        100 * real_of (row, "refused") / MAX (1, real_of (row, "inside_rate")),
        real_of (first, "p50"), real_of (first, "p95"), real_of (first, "p99"),
        real_of (between, "p50"), real_of (between, "p95"),
        real_of (between, "p99"));
  }
}

char *
experiment_table (const json_t *figures)
{
  GString *text = g_string_new (NULL);
  const json_t *engines = json_object_get (figures, "engines");
  g_string_append_printf (
      text,
      "policy %s, seed %.0f, %.0f minutes, %.0f accelerators, %.0f requests\n"
      "attainment                     %7.2f%%  (%.4f%% per accelerator)\n"
      "worst-served organisation      %7.2f%%  (%s; %.3f of the mean)\n"
      "refused inside the rate        %7.3f%%  (%.3f%% for the rate)\n"
      "model moves                    %8.0f\n"
      "memory excesses                %8.0f\n"
      "engines busy                   %7.1f%%\n"
      "prompt tokens cached           %7.1f%%\n"
      "processor time                 %8.1f s\n",
      json_string_value (json_object_get (figures, "policy")),
      real_of (figures, "seed"), real_of (figures, "minutes"),
      real_of (figures, "accelerators"), real_of (figures, "requests"),
      100 * real_of (figures, "attainment"),
      100 * real_of (figures, "attainment_per_accelerator"),
      100 * real_of (figures, "worst_attainment"),
      json_string_value (json_object_get (figures, "worst_organisation")),
      real_of (figures, "worst_to_mean"),
      100 * real_of (figures, "refused_inside_rate"),
      100 * real_of (figures, "rate_limited_inside_rate"),
      real_of (figures, "model_moves"), real_of (engines, "memory_excesses"),
      100 * real_of (engines, "busy"), 100 * real_of (engines, "cached"),
      real_of (figures, "processor_s"));
  add_rows (text, json_object_get (figures, "classes"));
  add_rows (text, json_object_get (figures, "organisations"));
  return g_string_free (text, FALSE);
}

/* The summary of several runs.  */

typedef struct
{
  const char *metric;
  const char *unit;
  const char *path[4]; /* member names from the figures object down to the
                          number */
} summary_row_t;

static const summary_row_t summary_rows[] = {
  { "attainment", "share", { "attainment" } },
  { "attainment_per_accelerator", "share", { "attainment_per_accelerator" } },
  { "model_moves", "loads", { "model_moves" } },
  { "worst_to_mean", "ratio", { "worst_to_mean" } },
  { "worst_attainment", "share", { "worst_attainment" } },
  { "refused_inside_rate", "share", { "refused_inside_rate" } },
  { "rate_limited_inside_rate", "share", { "rate_limited_inside_rate" } },
  { "memory_excesses", "times", { "engines", "memory_excesses" } },
  { "urgent_first_p95", "ms", { "classes", "urgent", "first_ms", "p95" } },
  { "urgent_between_p95", "ms", { "classes", "urgent", "between_ms", "p95" } },
  { "interactive_first_p95",
    "ms",
    { "classes", "interactive", "first_ms", "p95" } },
  { "interactive_between_p95",
    "ms",
    { "classes", "interactive", "between_ms", "p95" } },
  { "overnight_first_p95",
    "ms",
    { "classes", "overnight", "first_ms", "p95" } },
  { "processor", "s", { "processor_s" } }
};

static double
figure_at (const json_t *figures, const char *const path[4])
{
  for (int i = 0; i < 4 && path[i]; i++)
    figures = json_object_get (figures, path[i]);
  return json_number_value (figures);
}

char *
experiment_summary (const json_t *runs)
{
  GString *text = g_string_new (NULL);
  size_t n = json_array_size (runs);
  double *values = g_new (double, n);
  for (size_t i = 0; i < G_N_ELEMENTS (summary_rows); i++)
    {
      const summary_row_t *row = &summary_rows[i];
      for (size_t k = 0; k < n; k++)
        values[k] = figure_at (json_array_get (runs, k), row->path);
      const json_t *first = json_array_get (runs, 0);
      json_t *line
          = json_pack ("{ss sO sO sO ss sf sf ss sI}", "bench", "experiment",
                       "workload", json_object_get (first, "workload"),
                       "policy", json_object_get (first, "policy"), "load",
                       json_object_get (first, "load"), "metric", row->metric,
                       "value", gsl_stats_mean (values, 1, n), "spread",
                       n > 1 ? gsl_stats_sd (values, 1, n) : 0.0, "unit",
                       row->unit, "seeds", (json_int_t)n);
      char *dump = json_dumps (line, JSON_REAL_PRECISION (5));
      g_string_append_printf (text, "%s\n", dump);
      free (dump);
      json_decref (line);
    }
  g_free (values);
  return g_string_free (text, FALSE);
}

/* The plot: attainment of each organisation over time.  */

#define PLOT_WIDTH 760
#define PLOT_HEIGHT 320
#define PLOT_LEFT 50
#define PLOT_TOP 40

static void
add_line (GString *text, const experiment_organisation_t *organisation,
          guint n, const char *colour, guint row)
{
  g_string_append_printf (
      text, "<polyline fill=\"none\" stroke=\"%s\" points=\"", colour);
  for (guint i = 0; i < organisation->inside_rate_by_time->len; i++)
    {
      double inside_rate
          = g_array_index (organisation->inside_rate_by_time, double, i);
      double met
          = i < organisation->attained_by_time->len
                ? g_array_index (organisation->attained_by_time, double, i)
                : 0;
      if (inside_rate > 0)
        g_string_append_printf (
            text, "%.1f,%.1f ",
            PLOT_LEFT + (double)PLOT_WIDTH * (i + 0.5) / MAX (n, 1),
            PLOT_TOP + PLOT_HEIGHT * (1 - MIN (1, met / inside_rate)));
    }
  g_string_append_printf (
      text, "\"/>\n<text x=\"%d\" y=\"%u\" fill=\"%s\">%s</text>\n",
      PLOT_LEFT + PLOT_WIDTH + 10, PLOT_TOP + 20 * (row + 1), colour,
      organisation->organisation->name);
}

char *
experiment_plot (const experiment_t *experiment)
{
  static const char *const colours[]
      = { "#1b6ca8", "#c0392b", "#2e7d32", "#8e44ad", "#b8860b", "#455a64" };
  double seconds = (double)(experiment->end_ns - experiment->start_ns) / 1e9;
  guint n = (guint)(seconds / EXPERIMENT_BUCKET_S + 0.999);
  GString *text = g_string_new (NULL);
  g_string_append_printf (
      text,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
      "<text x=\"%d\" y=\"20\">Attainment of each organisation, policy %s, "
      "seed %" G_GUINT64_FORMAT "</text>\n",
      PLOT_WIDTH + PLOT_LEFT + 120, PLOT_HEIGHT + PLOT_TOP + 50, PLOT_LEFT,
      experiment->options.policy, experiment->options.seed);
  for (int i = 0; i <= 4; i++)
    {
      int y = PLOT_TOP + PLOT_HEIGHT * i / 4;
      g_string_append_printf (
          text,
          "<line x1=\"%d\" y1=\"%d\" x2=\"%d\" y2=\"%d\" stroke=\"#ddd\"/>"
          "<text x=\"8\" y=\"%d\">%d%%</text>\n",
          PLOT_LEFT, y, PLOT_LEFT + PLOT_WIDTH, y, y + 4, 100 - 25 * i);
      g_string_append_printf (
          text, "<text x=\"%d\" y=\"%d\">%.0f min</text>\n",
          PLOT_LEFT + PLOT_WIDTH * i / 4 - 10, PLOT_TOP + PLOT_HEIGHT + 20,
          seconds / 60 * i / 4);
    }
  for (guint i = 0; i < experiment->organisations->len; i++)
    add_line (text,
              &g_array_index (experiment->organisations,
                              experiment_organisation_t, i),
              n, colours[i % G_N_ELEMENTS (colours)], i);
  g_string_append (text, "</svg>\n");
  return g_string_free (text, FALSE);
}
