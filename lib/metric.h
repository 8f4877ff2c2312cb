/* metric.h - counters and histograms of each organisation and priority class.

   The number of series is limited: organisations beyond the first 64 series
   are counted together as "other".  */

#ifndef KNAPWEEDFORK_METRIC_H
#define KNAPWEEDFORK_METRIC_H

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <stdint.h>

#include "error-code.h"

typedef enum
{
  HISTOGRAM_FIRST_TOKEN,
  HISTOGRAM_TOKEN_INTERVAL,
  HISTOGRAM_QUEUE_WAIT,
  HISTOGRAM_REQUEST,
  N_HISTOGRAMS
} histogram_kind_t;

typedef struct
{
  gsl_histogram *bins;
  double sum;
  double count;
} histogram_t;

void histogram_init (histogram_t *histogram);
void histogram_clear (histogram_t *histogram);
/* Record a duration that was observed WEIGHT times.  */
void histogram_record (histogram_t *histogram, int64_t duration_ns,
                       double weight);
/* Append HISTOGRAM in the Prometheus text format, without its TYPE line, under
   NAME and with LABELS, for example a="b",c="d".  Append nothing if it is
   empty.  */
void histogram_write (GString *out, const char *name, const char *labels,
                      const histogram_t *histogram);

/* Counters and histograms of one organisation and priority class.  */
typedef struct
{
  char *organisation;
  int priority;
  uint64_t admitted;
  double shortfall; /* attainment below the best series, 0 to 1 */
  uint64_t codes[N_CODES];
  histogram_t histograms[N_HISTOGRAMS];
} series_t;

typedef struct metrics metrics_t;

metrics_t *metrics_new (void);
void metrics_free (metrics_t *metrics);

/* Series of ORGANISATION and PRIORITY, which is created if needed; valid as
   long as METRICS.  */
series_t *metrics_series (metrics_t *metrics, const char *organisation,
                          int priority);

/* All series, in order of creation.  */
const GPtrArray *metrics_all_series (const metrics_t *metrics);

/* Record a duration that was observed WEIGHT times.  */
void series_record (series_t *series, histogram_kind_t kind,
                    int64_t duration_ns, double weight);

/* Set the shortfall of each series: how far its attainment (the share of first
   tokens within the target) is below the best one.  */
void metrics_update_shortfalls (metrics_t *metrics);

/* Factor for the organisation's demand, from 1 (no shortfall) to 5.  */
double series_demand_weight (const series_t *series);

/* Append all series in the Prometheus text format.  */
void metrics_write (const metrics_t *metrics, GString *out);

/* Append NAME="VALUE", with VALUE escaped.  */
void metric_write_label (GString *out, const char *name, const char *value);

/* Append one metric without labels, with its TYPE line.  */
void metric_write_value (GString *out, const char *name, const char *type,
                         double value);

#endif
