/* metric.h - counters and histograms for each organisation and class.

   The number of series is bounded: organisations beyond the first 64 are
   counted together as "other".  */

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
/* Record WEIGHT observations of DURATION_NS.  */
void histogram_record (histogram_t *histogram, int64_t duration_ns,
                       double weight);
/* Append HISTOGRAM as series NAME with LABELS, such as a="b",c="d", in the
   Prometheus text format, without its type; nothing when it is empty.  */
void histogram_write (GString *out, const char *name, const char *labels,
                      const histogram_t *histogram);

/* Series of one organisation and class.  */
typedef struct
{
  char *organisation;
  int priority;
  uint64_t admitted;
  double shortfall; /* of first tokens within the target, 0 to 1 */
  uint64_t codes[N_CODES];
  histogram_t histograms[N_HISTOGRAMS];
} series_t;

typedef struct metrics metrics_t;

metrics_t *metrics_new (void);
void metrics_free (metrics_t *metrics);

/* Series of ORGANISATION and PRIORITY, made when missing; valid as long as
   METRICS.  */
series_t *metrics_series (metrics_t *metrics, const char *organisation,
                          int priority);

/* All series, in the order in which they were made.  */
const GPtrArray *metrics_all_series (const metrics_t *metrics);

/* Record WEIGHT observations of DURATION_NS.  */
void series_record (series_t *series, histogram_kind_t kind,
                    int64_t duration_ns, double weight);

/* Weigh each series by how much less of its first tokens came within the
   target than of the best one's.  */
void metrics_update_shortfalls (metrics_t *metrics);

/* From 1 to 5.  */
double series_demand_weight (const series_t *series);

/* Append the series in the Prometheus text format.  */
void metrics_write (const metrics_t *metrics, GString *out);

/* Append one metric without labels and its type.  */
void metric_write_value (GString *out, const char *name, const char *type,
                         double value);

#endif
