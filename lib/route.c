#include "route.h"

#include <string.h>
#include <xxhash.h>

#include "balance/choose.h"

/* The first candidate is taken while its load is at most this factor times
   the second's plus this many requests.  */
#define FIRST_LOAD_FACTOR 1.25
#define FIRST_EXTRA_REQUESTS 2.0

/* Load added for a candidate that has to fetch the adapter, and for one in
   another data centre (a metered link).  */
#define NO_ADAPTER_LOAD 4.0
#define OTHER_CENTRE_LOAD 2.0
/* Load added for each prompt that an engine is reading: it delays the next
   tokens of all streams of that engine by tens of milliseconds, while a stream
   that runs there delays them by hundredths of one.  */
#define PROMPT_LOAD 12.0
/* Number of servers that are sampled; the least loaded of them is chosen.  */
#define N_SAMPLED 2
/* Load added for a server whose load reports are missing, so that it is the
   last choice.  */
#define SILENT_LOAD 1000.0

/* Time for the KWF_MSG_CRASH messages of the peers to arrive.  When both
   candidates crashed within it, this very request may be the cause, so no
   other server is tried yet.  */
#define CRASH_MESSAGE_WAIT_NS (1 * KWF_NS_PER_S)

/* Delay before a server is chosen again whose half-open circuit is being
   tested by another request.  */
#define HALF_OPEN_RETRY_NS (20 * KWF_NS_PER_MS)

uint64_t
route_key (const char *organisation, const char *name, uint64_t prefix)
{
  uint64_t key = XXH64 (organisation, strlen (organisation), prefix);
  return XXH64 (name, strlen (name), key);
}

static uint64_t
rank_of (const server_t *server, uint64_t key)
{
  uint64_t pair[2] = { server->hash, key };
  return XXH64 (pair, sizeof pair, 0);
}

static bool
was_tried (const route_query_t *query, const server_t *server)
{
  for (int i = 0; i < query->n_tried; i++)
    if (query->tried[i] == server)
      return true;
  return false;
}

bool
route_is_eligible (const route_query_t *query, const server_t *server,
                   int64_t now_ns)
{
  return server && server_usable (server, now_ns)
         && !(server->region & query->excluded_regions)
         && (!query->model || server_holds_model (server, query->model))
         && (!query->model || !query->service
             || strcmp (server->name, query->service) == 0)
         && (!query->all_holders || !query->adapter
             || server_holds_adapter (server, query->model, query->adapter))
         && (!query->needs_stream_resume || server->resume)
         && (!query->has_origin || server->software == query->origin)
         && (!query->origins
             || origins_may_begin (query->origins, server->name,
                                   server->software))
         && !was_tried (query, server);
}

static double
expected_load (const route_query_t *query, const server_t *server)
{
  double load = server->others_known
                    ? server->others_open + server->open_attempts
                    : server_load (server);
  if (query->adapter
      && !server_holds_adapter (server, query->model, query->adapter))
    load += NO_ADAPTER_LOAD;
  if (g_strcmp0 (server->data_centre, query->data_centre) != 0)
    load += OTHER_CENTRE_LOAD;
  if (server->kind == KWF_MEMBER_ENGINE)
    load += PROMPT_LOAD * (server->unanswered + server->others_unanswered);
  if (server_silent (server))
    load += SILENT_LOAD;
  return load;
}

static bool
was_lost_lately (const server_t *server, int64_t now_ns)
{
  return server && server->lost_ns
         && now_ns - server->lost_ns < CRASH_MESSAGE_WAIT_NS;
}

/* Highest-ranked eligible server that is not a candidate.  */
static server_t *
best_other_server (const GPtrArray *holders, const route_query_t *query,
                   server_t *const candidates[2], int64_t now_ns)
{
  server_t *best = NULL;
  uint64_t best_rank = 0;
  for (guint i = 0; i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (server == candidates[0] || server == candidates[1]
          || !route_is_eligible (query, server, now_ns))
        continue;
      uint64_t rank = rank_of (server, query->key);
      if (!best || rank > best_rank)
        {
          best = server;
          best_rank = rank;
        }
    }
  return best;
}

/* Whether a usable server holds the preferred version of the model and is not
   unloading it.  */
static bool
is_version_served (const GPtrArray *holders, const route_query_t *query,
                   int64_t now_ns)
{
  for (guint i = 0; query->model && query->version && i < holders->len; i++)
    {
      const server_t *server = g_ptr_array_index (holders, i);
      if (server_usable (server, now_ns)
          && server_holds_version (server, query->model, query->version))
        return true;
    }
  return false;
}

/* The holders without those that are unloading the model and, once a server
   with the preferred version is usable, without those that hold another
   version.  */
static GPtrArray *
filter_holders (const GPtrArray *holders, const route_query_t *query,
                int64_t now_ns)
{
  GPtrArray *filtered = g_ptr_array_sized_new (holders->len);
  bool served = is_version_served (holders, query, now_ns);
  for (guint i = 0; i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (!query->model
          || (!server_is_unloading (server, query->model)
              && (!served || !server_holds_model (server, query->model)
                  || server_holds_version (server, query->model,
                                           query->version))))
        g_ptr_array_add (filtered, server);
    }
  return filtered;
}

static void
find_candidates (const GPtrArray *holders, uint64_t key,
                 server_t *candidates[2])
{
  uint64_t ranks[2] = { 0, 0 };
  candidates[0] = NULL;
  candidates[1] = NULL;
  for (guint i = 0; i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      uint64_t rank = rank_of (server, key);
      if (!candidates[0] || rank > ranks[0])
        {
          candidates[1] = candidates[0];
          ranks[1] = ranks[0];
          candidates[0] = server;
          ranks[0] = rank;
        }
      else if (!candidates[1] || rank > ranks[1])
        {
          candidates[1] = server;
          ranks[1] = rank;
        }
    }
}

/* The first candidate, unless its load exceeds that of the second by more than
   FIRST_LOAD_FACTOR and FIRST_EXTRA_REQUESTS allow.  */
static server_t *
first_unless_overloaded (const route_query_t *query,
                         server_t *const candidates[2])
{
  double first = expected_load (query, candidates[0]);
  double second = expected_load (query, candidates[1]);
  return first <= second * FIRST_LOAD_FACTOR + FIRST_EXTRA_REQUESTS
             ? candidates[0]
             : candidates[1];
}

static bool
is_any_half_open_busy (const GPtrArray *holders, const route_query_t *query,
                       int64_t now_ns)
{
  for (guint i = 0; i < holders->len; i++)
    {
      const server_t *server = g_ptr_array_index (holders, i);
      if (server_half_open_busy (server, now_ns) && !was_tried (query, server)
          && !(server->region & query->excluded_regions))
        return true;
    }
  return false;
}

/* Choose a candidate that may be sent one more request now.  FIRST_ELIGIBLE
   and SECOND_ELIGIBLE: whether the candidates are eligible.  */
static void
choose_candidate (const route_query_t *query, server_t *const candidates[2],
                  bool first_eligible, bool second_eligible, int64_t now_ns,
                  route_result_t *result)
{
  bool first_may_take
      = first_eligible && server_may_take_one_more (candidates[0], now_ns);
  bool second_may_take
      = second_eligible && server_may_take_one_more (candidates[1], now_ns);
  result->verdict = ROUTE_FOUND;
  if (first_may_take && second_may_take)
    result->server = first_unless_overloaded (query, candidates);
  else if (first_may_take || second_may_take)
    result->server = candidates[first_may_take ? 0 : 1];
  else
    {
      result->verdict = ROUTE_NO_ROOM;
      result->full[0] = candidates[first_eligible ? 0 : 1];
      result->full[1]
          = first_eligible && second_eligible ? candidates[1] : NULL;
    }
}

const GPtrArray *
route_holders (backend_t *backend, const route_query_t *query)
{
  return query->model ? backend_servers_of_model (backend, query->model)
                      : backend_servers_of_service (backend, query->service);
}

static double
relative_load (const route_query_t *query, const server_t *server)
{
  double load = expected_load (query, server);
  return server->slots > 0 ? load / server->slots : load;
}

typedef struct
{
  server_t *server;
  uint64_t rank;
} sampled_t;

static gint
compare_sampled (gconstpointer a, gconstpointer b)
{
  uint64_t first = ((const sampled_t *)a)->rank;
  uint64_t second = ((const sampled_t *)b)->rank;
  return first < second ? 1 : first > second ? -1 : 0;
}

/* Sample some servers by the key of QUERY and return the least loaded of them.
   The attempts of other instances are known with a lag of some 100 ms; if all
   instances chose the least loaded server, they would send their requests of
   that time to the same one.  */
static server_t *
least_loaded_of_sample (const GPtrArray *servers, const route_query_t *query)
{
  GArray *sample
      = g_array_sized_new (FALSE, FALSE, sizeof (sampled_t), servers->len);
  for (guint i = 0; i < servers->len; i++)
    {
      sampled_t one = { servers->pdata[i],
                        rank_of (servers->pdata[i], query->sample_key) };
      g_array_append_val (sample, one);
    }
  g_array_sort (sample, compare_sampled);
  server_t *found = NULL;
  double least = 0;
  for (guint i = 0; i < MIN (sample->len, N_SAMPLED); i++)
    {
      server_t *server = g_array_index (sample, sampled_t, i).server;
      double load = relative_load (query, server);
      if (found && load >= least)
        continue;
      found = server;
      least = load;
    }
  g_array_free (sample, TRUE);
  return found;
}

static server_t *
least_loaded (const GPtrArray *servers, const route_query_t *query)
{
  server_t *found = NULL;
  double least = 0;
  uint64_t least_rank = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      double load = relative_load (query, server);
      uint64_t rank = rank_of (server, query->key);
      if (found && (load > least || (load >= least && rank < least_rank)))
        continue;
      found = server;
      least = load;
      least_rank = rank;
    }
  return found;
}

/* Whether a request that waits for SERVER is expected to start sooner than one
   that waits for OTHER, as far as their limits tell.  */
static bool
waits_less (const server_t *server, const server_t *other, int64_t now_ns)
{
  const limit_t *limit = &server->limit;
  const limit_t *other_limit = &other->limit;
  if (!limit_in_force (other_limit, now_ns))
    return false;
  return !limit_in_force (limit, now_ns)
         || limit_start_in_ns (limit, limit->n_waiting, now_ns)
                < limit_start_in_ns (other_limit, other_limit->n_waiting,
                                     now_ns);
}

static server_t *
least_delayed (const GPtrArray *servers, const route_query_t *query,
               int64_t now_ns)
{
  delay_query_t delay_query = { .model = query->model,
                                .adapter = query->adapter,
                                .data_centre = query->data_centre,
                                .prompt_tokens = query->prompt_tokens,
                                .gap_aim_ns = query->gap_aim_ns };
  return choose_by_delay (servers, &delay_query, query->spread, now_ns);
}

/* Choose a holder with room and a low load for its size or, where servers
   report their pace, a low expected delay.  */
static route_result_t
choose_least (const GPtrArray *holders, const route_query_t *query,
              int64_t now_ns)
{
  route_result_t result = { .verdict = ROUTE_UNAVAILABLE };
  const server_t *full = NULL;
  bool shared = false;
  GPtrArray *servers = g_ptr_array_sized_new (holders->len);
  for (guint i = 0; i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (!route_is_eligible (query, server, now_ns))
        continue;
      if (server_may_take_one_more (server, now_ns))
        g_ptr_array_add (servers, server);
      else if (!full || waits_less (server, full, now_ns))
        full = server;
      shared |= server->others_known;
    }
  if (choose_by_delay_applies (servers))
    result.server = least_delayed (servers, query, now_ns);
  else
    result.server = shared ? least_loaded_of_sample (servers, query)
                           : least_loaded (servers, query);
  if (result.server)
    result.verdict = ROUTE_FOUND;
  else if (full)
    result = (route_result_t){ .verdict = ROUTE_NO_ROOM, .full = { full } };
  g_ptr_array_free (servers, TRUE);
  return result;
}

static route_result_t
choose_by_rank (const GPtrArray *holders, const route_query_t *query,
                int64_t now_ns)
{
  route_result_t result = { .verdict = ROUTE_NONE };
  if (!holders->len)
    return result;
  server_t *candidates[2];
  find_candidates (holders, query->key, candidates);
  bool first_eligible
      = candidates[0] && route_is_eligible (query, candidates[0], now_ns);
  bool second_eligible
      = candidates[1] && route_is_eligible (query, candidates[1], now_ns);
  if (first_eligible || second_eligible)
    {
      choose_candidate (query, candidates, first_eligible, second_eligible,
                        now_ns, &result);
      return result;
    }
  result.verdict = ROUTE_UNAVAILABLE;
  if (query->suspect)
    return result;
  server_t *other = best_other_server (holders, query, candidates, now_ns);
  if (!other)
    {
      if (is_any_half_open_busy (holders, query, now_ns))
        {
          result.verdict = ROUTE_WAIT;
          result.retry_ns = now_ns + HALF_OPEN_RETRY_NS;
        }
      return result;
    }
  if (was_lost_lately (candidates[0], now_ns)
      && was_lost_lately (candidates[1], now_ns))
    {
      result.verdict = ROUTE_WAIT;
      result.retry_ns = MAX (candidates[0]->lost_ns, candidates[1]->lost_ns)
                        + CRASH_MESSAGE_WAIT_NS;
      return result;
    }
  result.verdict = ROUTE_FOUND;
  result.server = other;
  if (!server_may_take_one_more (other, now_ns))
    result = (route_result_t){ .verdict = ROUTE_NO_ROOM, .full = { other } };
  return result;
}

route_result_t
route_choose (backend_t *backend, const route_query_t *query, int64_t now_ns)
{
  const GPtrArray *holders = route_holders (backend, query);
  if (!holders)
    return (route_result_t){ .verdict = ROUTE_NONE };
  if (query->all_holders)
    return choose_least (holders, query, now_ns);
  if (!query->version)
    return choose_by_rank (holders, query, now_ns);
  GPtrArray *filtered = filter_holders (holders, query, now_ns);
  route_result_t result = choose_by_rank (filtered, query, now_ns);
  g_ptr_array_free (filtered, TRUE);
  return result;
}
