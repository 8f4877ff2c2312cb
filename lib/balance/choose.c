#include "choose.h"

#include <math.h>
#include <xxhash.h>

#include "contention.h"
#include "pace.h"

/* Delays that differ by less than about this part of the least one count as
   similar.  */
#define SIMILAR_PART 0.5
/* One in so many servers is sampled, and the best of these is chosen; but
   never fewer than SAMPLE_MIN.  */
#define SAMPLE_ONE_IN 6
#define SAMPLE_MIN 2

bool
choose_by_delay_applies (const GPtrArray *servers)
{
  for (guint i = 0; i < servers->len; i++)
    if (server_is_measured (servers->pdata[i]))
      return true;
  return false;
}

typedef struct
{
  server_t *server;
  uint64_t rank;
  double cost_ns;
} candidate_t;

static uint64_t
hash_of (const server_t *server, uint64_t spread, uint64_t seed)
{
  uint64_t pair[2] = { server->hash, spread };
  return XXH64 (pair, sizeof pair, seed);
}

/* A random number that follows the Gumbel distribution.  With it subtracted
   from the costs, a server is the least with a probability that falls
   exponentially with its cost.  */
static double
gumbel (const server_t *server, uint64_t spread)
{
  uint64_t hash = hash_of (server, spread, 1);
  double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  return -log (-log (uniform));
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  uint64_t first = ((const candidate_t *)a)->rank;
  uint64_t second = ((const candidate_t *)b)->rank;
  return (first < second) - (first > second);
}

static bool
are_all_silent (const GPtrArray *servers)
{
  for (guint i = 0; i < servers->len; i++)
    if (!server_silent (servers->pdata[i]))
      return false;
  return true;
}

/* A sample of SERVERS with their costs.  Servers with a kept connection are in
   it in addition, so that an instance uses few connections.  Silent servers
   are in it only if all are silent.  */
static GArray *
take_sample (const GPtrArray *servers, const delay_query_t *query,
             uint64_t spread, int64_t now_ns)
{
  bool all_silent = are_all_silent (servers);
  guint n_kept = 0;
  GArray *sample
      = g_array_sized_new (FALSE, FALSE, sizeof (candidate_t), servers->len);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      if (!all_silent && server_silent (server))
        continue;
      bool kept = now_ns < server->kept_until_ns;
      n_kept += kept;
      candidate_t candidate
          = { .server = server,
              .rank = kept ? UINT64_MAX : hash_of (server, spread, 0) };
      g_array_append_val (sample, candidate);
    }
  g_array_sort (sample, compare_ranks);
  guint n = n_kept + MAX (sample->len / SAMPLE_ONE_IN, SAMPLE_MIN);
  g_array_set_size (sample, MIN (n, sample->len));
  for (guint i = 0; i < sample->len; i++)
    {
      candidate_t *candidate = &g_array_index (sample, candidate_t, i);
      delay_estimate_t estimate
          = delay_estimate (candidate->server, query, now_ns);
      candidate->cost_ns = delay_cost_ns (&estimate);
    }
  return sample;
}

server_t *
choose_by_delay (const GPtrArray *servers, const delay_query_t *query,
                 uint64_t spread, int64_t now_ns)
{
  GArray *sample = take_sample (servers, query, spread, now_ns);
  double least_ns = INFINITY;
  for (guint i = 0; i < sample->len; i++)
    least_ns = MIN (least_ns, g_array_index (sample, candidate_t, i).cost_ns);
  server_t *found = NULL;
  double least = INFINITY;
  for (guint i = 0; i < sample->len; i++)
    {
      candidate_t *candidate = &g_array_index (sample, candidate_t, i);
      double cost
          = candidate->cost_ns
            - least_ns * SIMILAR_PART * gumbel (candidate->server, spread);
      if (found && cost >= least)
        continue;
      found = candidate->server;
      least = cost;
    }
  g_array_free (sample, TRUE);
  return found;
}
