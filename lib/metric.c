#include "metric.h"

#include <knapweedfork/clock.h>
#include <string.h>

#define MAX_SERIES 64
#define OTHER_ORGANISATIONS "other"
#define FIRST_TOKEN_TARGET_S 1.3

/* Upper bounds in seconds.  The fleet's targets (38 ms between tokens, 1.3 s
   to the first token) are bounds, so that attainment can be read off
   exactly.  */
static const double bounds[]
    = { 0,   0.0003, 0.001, 0.002, 0.005, 0.01, 0.02, 0.038, 0.05, 0.1,
        0.2, 0.5,    1,     1.3,   2,     5,    10,   30,    60,   1e9 };
#define N_BOUNDS (sizeof bounds / sizeof bounds[0])

static const char *const histogram_names[N_HISTOGRAMS] = {
  [HISTOGRAM_FIRST_TOKEN] = "kwf_first_token_seconds",
  [HISTOGRAM_TOKEN_INTERVAL] = "kwf_token_interval_seconds",
  [HISTOGRAM_QUEUE_WAIT] = "kwf_queue_wait_seconds",
  [HISTOGRAM_REQUEST] = "kwf_request_seconds",
};

static const char *const class_names[]
    = { "urgent", "interactive", "overnight" };

struct metrics
{
  GPtrArray *series;
};

void
histogram_init (histogram_t *histogram)
{
  *histogram = (histogram_t){ .bins = gsl_histogram_alloc (N_BOUNDS - 1) };
  gsl_histogram_set_ranges (histogram->bins, bounds, N_BOUNDS);
}

void
histogram_clear (histogram_t *histogram)
{
  gsl_histogram_free (histogram->bins);
}

void
histogram_record (histogram_t *histogram, int64_t duration_ns, double weight)
{
  double seconds = (double)MAX (duration_ns, 0) / (double)KWF_NS_PER_S;
  gsl_histogram_accumulate (histogram->bins, seconds, weight);
  histogram->sum += seconds * weight;
  histogram->count += weight;
}

void
histogram_write (GString *out, const char *name, const char *labels,
                 const histogram_t *histogram)
{
  if (histogram->count <= 0)
    return;
  double cumulative = 0;
  for (size_t i = 0; i + 2 < N_BOUNDS; i++)
    {
      cumulative += gsl_histogram_get (histogram->bins, i);
      g_string_append_printf (out, "%s_bucket{%s,le=\"%g\"} %.0f\n", name,
                              labels, bounds[i + 1], cumulative);
    }
  g_string_append_printf (out,
                          "%s_bucket{%s,le=\"+Inf\"} %.0f\n"
                          "%s_sum{%s} %.9g\n%s_count{%s} %.0f\n",
                          name, labels, histogram->count, name, labels,
                          histogram->sum, name, labels, histogram->count);
}

static void
series_free (gpointer data)
{
  series_t *series = data;
  for (int i = 0; i < N_HISTOGRAMS; i++)
    histogram_clear (&series->histograms[i]);
  g_free (series->organisation);
  g_free (series);
}

metrics_t *
metrics_new (void)
{
  metrics_t *metrics = g_new0 (metrics_t, 1);
  metrics->series = g_ptr_array_new_with_free_func (series_free);
  return metrics;
}

void
metrics_free (metrics_t *metrics)
{
  if (!metrics)
    return;
  g_ptr_array_free (metrics->series, TRUE);
  g_free (metrics);
}

const GPtrArray *
metrics_all_series (const metrics_t *metrics)
{
  return metrics->series;
}

static series_t *
find_series (const metrics_t *metrics, const char *organisation, int priority)
{
  for (guint i = 0; i < metrics->series->len; i++)
    {
      series_t *series = g_ptr_array_index (metrics->series, i);
      if (series->priority == priority
          && strcmp (series->organisation, organisation) == 0)
        return series;
    }
  return NULL;
}

series_t *
metrics_series (metrics_t *metrics, const char *organisation, int priority)
{
  series_t *series = find_series (metrics, organisation, priority);
  if (series)
    return series;
  if (metrics->series->len >= MAX_SERIES
      && strcmp (organisation, OTHER_ORGANISATIONS) != 0)
    return metrics_series (metrics, OTHER_ORGANISATIONS, priority);
  series = g_new0 (series_t, 1);
  series->organisation = g_strdup (organisation);
  series->priority = priority;
  for (int i = 0; i < N_HISTOGRAMS; i++)
    histogram_init (&series->histograms[i]);
  g_ptr_array_add (metrics->series, series);
  return series;
}

void
series_record (series_t *series, histogram_kind_t kind, int64_t duration_ns,
               double weight)
{
  histogram_record (&series->histograms[kind], duration_ns, weight);
}

/* Share of the first tokens within the target; 1 if there are none yet.  */
static double
attainment (const series_t *series)
{
  const histogram_t *histogram = &series->histograms[HISTOGRAM_FIRST_TOKEN];
  double within = 0;
  for (size_t i = 0; bounds[i] < FIRST_TOKEN_TARGET_S; i++)
    within += gsl_histogram_get (histogram->bins, i);
  return histogram->count > 0 ? within / histogram->count : 1;
}

void
metrics_update_shortfalls (metrics_t *metrics)
{
  double best = 0;
  for (guint i = 0; i < metrics->series->len; i++)
    best = MAX (best, attainment (g_ptr_array_index (metrics->series, i)));
  for (guint i = 0; i < metrics->series->len; i++)
    {
      series_t *series = g_ptr_array_index (metrics->series, i);
      series->shortfall = best - attainment (series);
    }
}

double
series_demand_weight (const series_t *series)
{
  return 1 + 4 * series->shortfall;
}

void
metric_write_label (GString *out, const char *name, const char *value)
{
  g_string_append_printf (out, "%s=\"", name);
  for (const char *c = value; *c; c++)
    {
      if (*c == '\n')
        {
          g_string_append (out, "\\n");
          continue;
        }
      if (*c == '"' || *c == '\\')
        g_string_append_c (out, '\\');
      g_string_append_c (out, *c);
    }
  g_string_append_c (out, '"');
}

static void
write_labels (GString *out, const series_t *series)
{
  metric_write_label (out, "organisation", series->organisation);
  g_string_append_printf (out, ",class=\"%s\"",
                          class_names[CLAMP (series->priority, 0, 2)]);
}

static void
write_counts (GString *out, const GPtrArray *all)
{
  g_string_append (out, "# TYPE kwf_admitted_total counter\n");
  for (guint i = 0; i < all->len; i++)
    {
      const series_t *series = g_ptr_array_index (all, i);
      if (!series->admitted)
        continue;
      g_string_append (out, "kwf_admitted_total{");
      write_labels (out, series);
      g_string_append_printf (out, "} %" G_GUINT64_FORMAT "\n",
                              series->admitted);
    }
  g_string_append (out, "# TYPE kwf_requests_total counter\n");
  for (guint i = 0; i < all->len; i++)
    {
      const series_t *series = g_ptr_array_index (all, i);
      for (int code = 0; code < N_CODES; code++)
        {
          if (!series->codes[code])
            continue;
          g_string_append (out, "kwf_requests_total{");
          write_labels (out, series);
          g_string_append_printf (out, ",code=\"%s\"} %" G_GUINT64_FORMAT "\n",
                                  error_code_name (code), series->codes[code]);
        }
    }
}

void
metrics_write (const metrics_t *metrics, GString *out)
{
  GString *labels = g_string_new (NULL);
  write_counts (out, metrics->series);
  for (int kind = 0; kind < N_HISTOGRAMS; kind++)
    {
      const char *name = histogram_names[kind];
      g_string_append_printf (out, "# TYPE %s histogram\n", name);
      for (guint i = 0; i < metrics->series->len; i++)
        {
          const series_t *series = g_ptr_array_index (metrics->series, i);
          g_string_truncate (labels, 0);
          write_labels (labels, series);
          histogram_write (out, name, labels->str, &series->histograms[kind]);
        }
    }
  g_string_free (labels, TRUE);
}

void
metric_write_value (GString *out, const char *name, const char *type,
                    double value)
{
  g_string_append_printf (out, "# TYPE %s %s\n%s %.15g\n", name, type, name,
                          value);
}
