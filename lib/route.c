#include "route.h"

#include "notice.h"

#include <string.h>
#include <xxhash.h>

/* The first candidate is taken while its load is at most this factor times
   the second's plus this many requests.  */
#define BOUND_FACTOR 1.25
#define BOUND_REQUESTS 2.0

/* Extra load at which a candidate without the adapter (it has to be
   fetched) or in another data centre (a metered link) is counted.  */
#define NO_ADAPTER_LOAD 4.0
#define OTHER_CENTRE_LOAD 2.0
/* A prompt that an engine reads delays the next tokens of all its streams by
   tens of milliseconds; a stream that runs there by hundredths of one.  */
#define PROMPT_LOAD 12.0
/* Servers of which the least loaded one is taken.  */
#define DRAWN 2
/* A server whose load reports stay away is the last choice.  */
#define SILENT_LOAD 1000.0

/* Time for the CRASH messages of the peers to arrive: when both candidates
   were lost within it, they may have been lost to this very request, and a
   third server is not tried yet.  */
#define NEWS_NS (1 * KWF_NS_PER_S)

/* Pause before a server is asked for again whose half-open circuit is being
   tried by another request.  */
#define TRIAL_PAUSE_NS (20 * KWF_NS_PER_MS)

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
         && (!query->model || server_holds_model (server, query->model))
         && (!query->model || !query->service
             || strcmp (server->name, query->service) == 0)
         && (!query->least || !query->adapter
             || server_holds_adapter (server, query->model, query->adapter))
         && (!query->needs_stream_resume || server->resume)
         && !was_tried (query, server);
}

static bool
has_room (const server_t *server, int64_t now_ns)
{
  return notice_slow_start_allows (server, now_ns)
         && (server->kind == KWF_MEMBER_SERVICE
             || window_has_room (&server->window, server->open_attempts));
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
is_lost_now (const server_t *server, int64_t now_ns)
{
  return server && server->lost_ns && now_ns - server->lost_ns < NEWS_NS;
}

/* Best-ranked server other than the candidates that may be taken.  */
static server_t *
third_server (const GPtrArray *holders, const route_query_t *query,
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

/* Whether some server neither unloads the model nor has another version that
   is about to be replaced.  */
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

/* Servers that are left out as if they did not hold the model: those that
   unload it, and those with an old version once the listed one answers.  */
static GPtrArray *
keep_holders (const GPtrArray *holders, const route_query_t *query,
              int64_t now_ns)
{
  GPtrArray *kept = g_ptr_array_sized_new (holders->len);
  bool served = is_version_served (holders, query, now_ns);
  for (guint i = 0; i < holders->len; i++)
    {
      server_t *server = g_ptr_array_index (holders, i);
      if (!query->model
          || (!server_is_unloading (server, query->model)
              && (!served || !server_holds_model (server, query->model)
                  || server_holds_version (server, query->model,
                                           query->version))))
        g_ptr_array_add (kept, server);
    }
  return kept;
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

static server_t *
less_loaded (const route_query_t *query, server_t *const candidates[2])
{
  double first = expected_load (query, candidates[0]);
  double second = expected_load (query, candidates[1]);
  return first <= second * BOUND_FACTOR + BOUND_REQUESTS ? candidates[0]
                                                         : candidates[1];
}

static bool
is_any_on_trial (const GPtrArray *holders, const route_query_t *query,
                 int64_t now_ns)
{
  for (guint i = 0; i < holders->len; i++)
    {
      const server_t *server = g_ptr_array_index (holders, i);
      if (server_half_open_busy (server, now_ns) && !was_tried (query, server))
        return true;
    }
  return false;
}

/* Of the usable candidates take one with room.  */
static void
take_candidate (const route_query_t *query, server_t *const candidates[2],
                bool first, bool second, int64_t now_ns,
                route_result_t *result)
{
  bool first_room = first && has_room (candidates[0], now_ns);
  bool second_room = second && has_room (candidates[1], now_ns);
  result->verdict = ROUTE_FOUND;
  if (first_room && second_room)
    result->server = less_loaded (query, candidates);
  else if (first_room || second_room)
    result->server = candidates[first_room ? 0 : 1];
  else
    {
      result->verdict = ROUTE_FULL;
      result->full[0] = candidates[first ? 0 : 1];
      result->full[1] = first && second ? candidates[1] : NULL;
    }
}

const GPtrArray *
route_holders (backend_t *backend, const route_query_t *query)
{
  return query->model ? backend_servers_of_model (backend, query->model)
                      : backend_servers_of_service (backend, query->service);
}

static double
load_for_size (const route_query_t *query, const server_t *server)
{
  double load = expected_load (query, server);
  return server->slots > 0 ? load / server->slots : load;
}

typedef struct
{
  server_t *server;
  uint64_t rank;
} drawn_t;

static gint
compare_drawn (gconstpointer a, gconstpointer b)
{
  uint64_t first = ((const drawn_t *)a)->rank;
  uint64_t second = ((const drawn_t *)b)->rank;
  return first < second ? 1 : first > second ? -1 : 0;
}

/* Of some servers drawn by QUERY the one with the least load.  What other
   instances have under way is known with a lag of some 100 ms; if all took
   the least loaded server, they would send their requests of that time to
   the same one.  */
static server_t *
least_loaded_of_drawn (const GPtrArray *servers, const route_query_t *query)
{
  GArray *drawn
      = g_array_sized_new (FALSE, FALSE, sizeof (drawn_t), servers->len);
  for (guint i = 0; i < servers->len; i++)
    {
      drawn_t one = { servers->pdata[i],
                      rank_of (servers->pdata[i], query->sample_key) };
      g_array_append_val (drawn, one);
    }
  g_array_sort (drawn, compare_drawn);
  server_t *found = NULL;
  double least = 0;
  for (guint i = 0; i < MIN (drawn->len, DRAWN); i++)
    {
      server_t *server = g_array_index (drawn, drawn_t, i).server;
      double load = load_for_size (query, server);
      if (found && load >= least)
        continue;
      found = server;
      least = load;
    }
  g_array_free (drawn, TRUE);
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
      double load = load_for_size (query, server);
      uint64_t rank = rank_of (server, query->key);
      if (found && (load > least || (load >= least && rank < least_rank)))
        continue;
      found = server;
      least = load;
      least_rank = rank;
    }
  return found;
}

/* A holder with little load for its size, of those with room.  */
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
      if (has_room (server, now_ns))
        g_ptr_array_add (servers, server);
      else
        full = full ? full : server;
      shared |= server->others_known;
    }
  result.server = shared ? least_loaded_of_drawn (servers, query)
                         : least_loaded (servers, query);
  if (result.server)
    result.verdict = ROUTE_FOUND;
  else if (full)
    result = (route_result_t){ .verdict = ROUTE_FULL, .full = { full } };
  g_ptr_array_free (servers, TRUE);
  return result;
}

static route_result_t
choose_holder (const GPtrArray *holders, const route_query_t *query,
               int64_t now_ns)
{
  route_result_t result = { .verdict = ROUTE_NONE };
  if (!holders->len)
    return result;
  server_t *candidates[2];
  find_candidates (holders, query->key, candidates);
  bool first
      = candidates[0] && route_is_eligible (query, candidates[0], now_ns);
  bool second
      = candidates[1] && route_is_eligible (query, candidates[1], now_ns);
  if (first || second)
    {
      take_candidate (query, candidates, first, second, now_ns, &result);
      return result;
    }
  result.verdict = ROUTE_UNAVAILABLE;
  if (query->suspect)
    return result;
  server_t *third = third_server (holders, query, candidates, now_ns);
  if (!third)
    {
      if (is_any_on_trial (holders, query, now_ns))
        {
          result.verdict = ROUTE_WAIT;
          result.retry_ns = now_ns + TRIAL_PAUSE_NS;
        }
      return result;
    }
  if (is_lost_now (candidates[0], now_ns)
      && is_lost_now (candidates[1], now_ns))
    {
      result.verdict = ROUTE_WAIT;
      result.retry_ns
          = MAX (candidates[0]->lost_ns, candidates[1]->lost_ns) + NEWS_NS;
      return result;
    }
  result.verdict = ROUTE_FOUND;
  result.server = third;
  if (!has_room (third, now_ns))
    result = (route_result_t){ .verdict = ROUTE_FULL, .full = { third } };
  return result;
}

route_result_t
route_choose (backend_t *backend, const route_query_t *query, int64_t now_ns)
{
  const GPtrArray *holders = route_holders (backend, query);
  if (!holders)
    return (route_result_t){ .verdict = ROUTE_NONE };
  if (query->least)
    return choose_least (holders, query, now_ns);
  if (!query->version)
    return choose_holder (holders, query, now_ns);
  GPtrArray *kept = keep_holders (holders, query, now_ns);
  route_result_t result = choose_holder (kept, query, now_ns);
  g_ptr_array_free (kept, TRUE);
  return result;
}
