#include "duration.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Limit on kinds, as models and routes come and go.  All are forgotten at the
   limit.  */
#define MAX_KINDS 4096

typedef struct
{
  uint64_t kind;
  int n; /* of all that were recorded */
  float seconds[DURATION_SAMPLES];
} samples_t;

struct durations
{
  GHashTable *kinds; /* kind to samples_t */
};

durations_t *
durations_new (void)
{
  durations_t *durations = g_new (durations_t, 1);
  durations->kinds
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return durations;
}

void
durations_free (durations_t *durations)
{
  g_hash_table_unref (durations->kinds);
  g_free (durations);
}

static uint64_t
add_text (uint64_t hash, const char *text)
{
  return text ? XXH64 (text, strlen (text) + 1, hash) : hash;
}

uint64_t
duration_kind (const char *route, const char *service, const char *model,
               bool stream)
{
  return add_text (add_text (add_text (stream, route), service), model);
}

void
durations_record (durations_t *durations, uint64_t kind, int64_t duration_ns)
{
  samples_t *samples = g_hash_table_lookup (durations->kinds, &kind);
  if (!samples)
    {
      if (g_hash_table_size (durations->kinds) >= MAX_KINDS)
        g_hash_table_remove_all (durations->kinds);
      samples = g_new0 (samples_t, 1);
      samples->kind = kind;
      g_hash_table_insert (durations->kinds, &samples->kind, samples);
    }
  samples->seconds[samples->n % DURATION_SAMPLES]
      = (float)duration_ns / (float)G_USEC_PER_SEC / 1000;
  /* Keeps n at or above DURATION_SAMPLES once all places are filled.  */
  if (++samples->n == 2 * DURATION_SAMPLES)
    samples->n = DURATION_SAMPLES;
}

int64_t
durations_longest_ns (const durations_t *durations, uint64_t kind, int *n)
{
  const samples_t *samples = g_hash_table_lookup (durations->kinds, &kind);
  float longest = 0;
  *n = samples ? MIN (samples->n, DURATION_SAMPLES) : 0;
  for (int i = 0; i < *n; i++)
    longest = MAX (longest, samples->seconds[i]);
  return (int64_t)((double)longest * 1e9);
}
