/* Outlier ejection: a server that fails or answers late more often than not,
   while others can do all that it does, gets no requests for a while.  */

#include "backend.h"

#include <math.h>

/* A server is ejected when it had at least this many outcomes within the last
   10 s and more than half of them were bad.  */
#define WINDOW_NS (10 * KWF_NS_PER_S)
#define MIN_OUTCOMES 10.0
#define EJECTION_NS (10 * KWF_NS_PER_S)

/* First data is late when it took this many times as long as at the other
   servers, for an equal prompt, and longer than the network's own delay.  */
#define LATE_FACTOR 3.0
#define LATE_MIN_S 0.02
/* The part of the first token's time that does not grow with the prompt,
   expressed in tokens.  */
#define FIXED_TOKENS 256.0

typedef struct
{
  double n; /* requests, decayed */
  double sum_s;
  int64_t at_ns;
} latency_stats_t;

static double
decay_factor (int64_t passed_ns)
{
  return exp (-(double)passed_ns / (double)WINDOW_NS);
}

static const GPtrArray *
holders_of (backend_t *backend, const server_t *server, const char *model)
{
  return server->kind == KWF_MEMBER_SERVICE
             ? backend_servers_of_service (backend, server->name)
             : backend_servers_of_model (backend, model);
}

static bool
has_other_holder (backend_t *backend, const server_t *server,
                  const char *model, int64_t now_ns)
{
  const GPtrArray *holders = holders_of (backend, server, model);
  for (guint i = 0; holders && i < holders->len; i++)
    {
      const server_t *holder = g_ptr_array_index (holders, i);
      if (holder != server && server_usable (holder, now_ns)
          && server_holds_model (holder, model))
        return true;
    }
  return false;
}

static bool
all_have_other_holder (backend_t *backend, const server_t *server,
                       GHashTable *models, int64_t now_ns)
{
  if (!models)
    return true;
  GHashTableIter iter;
  gpointer name;
  g_hash_table_iter_init (&iter, models);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    if (!has_other_holder (backend, server, name, now_ns))
      return false;
  return true;
}

bool
outlier_is_replaceable (backend_t *backend, const server_t *server,
                        int64_t now_ns)
{
  if (server->kind == KWF_MEMBER_SERVICE)
    return has_other_holder (backend, server, NULL, now_ns);
  return all_have_other_holder (backend, server, server->models, now_ns)
         && all_have_other_holder (backend, server, server->lost_models,
                                   now_ns);
}

void
outlier_record (backend_t *backend, server_t *server, bool good,
                int64_t now_ns)
{
  int64_t passed = now_ns - server->outcomes_ns;
  if (passed > KWF_NS_PER_S / 10)
    {
      server->good *= decay_factor (passed);
      server->bad *= decay_factor (passed);
      server->outcomes_ns = now_ns;
    }
  if (good)
    server->good += 1;
  else
    server->bad += 1;
  if (good && server->good > MIN_OUTCOMES)
    server->ejections = 0;
  if (good || server->good + server->bad < MIN_OUTCOMES
      || server->bad <= server->good || now_ns < server->ejected_until_ns
      || !outlier_is_replaceable (backend, server, now_ns))
    return;
  server->ejections = MIN (server->ejections + 1, 6);
  server->ejected_until_ns = now_ns + server->ejections * EJECTION_NS;
  server->good = 0;
  server->bad = 0;
}

static latency_stats_t *
stats_of (const server_t *server, const char *model)
{
  return g_hash_table_lookup (server->first_data_stats, model ? model : "");
}

/* Mean time to the first data at the other servers with MODEL, for each token
   of the prompt; 0: too few requests.  */
static double
mean_of_others (backend_t *backend, const server_t *server, const char *model,
                int64_t now_ns)
{
  double n = 0;
  double sum_s = 0;
  const GPtrArray *holders = holders_of (backend, server, model);
  for (guint i = 0; holders && i < holders->len; i++)
    {
      const server_t *holder = g_ptr_array_index (holders, i);
      const latency_stats_t *stats = stats_of (holder, model);
      if (holder == server || !stats || !server_usable (holder, now_ns))
        continue;
      n += stats->n * decay_factor (now_ns - stats->at_ns);
      sum_s += stats->sum_s * decay_factor (now_ns - stats->at_ns);
    }
  return n >= MIN_OUTCOMES ? sum_s / n : 0;
}

bool
outlier_record_latency (backend_t *backend, server_t *server,
                        const char *model, int64_t prompt_tokens,
                        int64_t duration_ns, int64_t now_ns)
{
  double tokens = FIXED_TOKENS + (double)prompt_tokens;
  double latency_s = (double)duration_ns / (double)KWF_NS_PER_S;
  latency_stats_t *stats = stats_of (server, model);
  if (!stats)
    {
      stats = g_new0 (latency_stats_t, 1);
      stats->at_ns = now_ns;
      g_hash_table_insert (server->first_data_stats,
                           g_strdup (model ? model : ""), stats);
    }
  double decay = decay_factor (now_ns - stats->at_ns);
  *stats
      = (latency_stats_t){ stats->n * decay + 1,
                           stats->sum_s * decay + latency_s / tokens, now_ns };
  double usual = mean_of_others (backend, server, model, now_ns);
  bool late = usual > 0 && latency_s > LATE_MIN_S
              && latency_s > LATE_FACTOR * usual * tokens;
  if (late)
    outlier_record (backend, server, false, now_ns);
  return late;
}
