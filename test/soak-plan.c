/* The schedule of disruptions, drawn from the seed alone, and the operator's
   configuration.  */

#include <signal.h>
#include <string.h>

#include <knapweedfork/clock.h>

#include "common-odd.h"
#include "soak.h"

/* Mean time between the starts of two series, and within a series.  */
#define SERIES_S 0.9
#define WITHIN_S 0.15
/* The same beside partitions, whose rule needs instances in touch.  */
#define CALM_SERIES_S 4.0
#define SERIES_MOST 6
#define SILENT_MS 1500
#define TIMEOUT_MS 4000

const soak_route_t soak_routes[] = {
  { "/a/", SOAK_IDEMPOTENT, 3, false, false },
  { "/b/", SOAK_IDEMPOTENT, 2, false, false },
  { "/c/", SOAK_IDEMPOTENT, 1, false, false },
  { "/n/", SOAK_ONCE, 2, false, false },
  { "/m/", SOAK_ONCE, 3, false, false },
  { "/s/", SOAK_STREAM, 2, false, false },
  { "/t/", SOAK_RESUMABLE, 3, false, false },
  { "/e/", SOAK_STREAM, 2, true, false },
  { "/f/", SOAK_RESUMABLE, 3, true, false },
  { "/l/", SOAK_ONCE, 2, false, true },
  { "/v/", SOAK_STREAM, 2, false, true },
  { "/w/", SOAK_RESUMABLE, 3, false, true },
  /* Added in the last part.  */
  { "/y/", SOAK_IDEMPOTENT, 2, false, false },
};
const size_t n_soak_routes = G_N_ELEMENTS (soak_routes);
const size_t n_first_routes = G_N_ELEMENTS (soak_routes) - 1;

static const char *const act_names[N_ACTS]
    = { "term",         "term-many",    "term-again",   "restart",
        "kill",         "stop",         "hup",          "hup-all",
        "config",       "odd-entry",    "server-kill",  "server-freeze",
        "server-leave", "service-fail", "store-silent", "evacuate",
        "readmit",      "cold-centre",  "drill",        "cut" };

const char *
act_name (act_t act)
{
  return act_names[act];
}

static act_t
draw_act (GRand *rand)
{
  static const act_t acts[]
      = { ACT_TERM,         ACT_TERM,         ACT_TERM_MANY,
          ACT_TERM_AGAIN,   ACT_RESTART,      ACT_KILL,
          ACT_STOP,         ACT_HUP,          ACT_HUP_ALL,
          ACT_CONFIG,       ACT_CONFIG,       ACT_ODD_ENTRY,
          ACT_SERVER_KILL,  ACT_SERVER_KILL,  ACT_SERVER_KILL,
          ACT_SERVER_KILL,  ACT_SERVER_KILL,  ACT_SERVER_FREEZE,
          ACT_SERVER_LEAVE, ACT_SERVICE_FAIL, ACT_STORE_SILENT };
  return acts[g_rand_int_range (rand, 0, G_N_ELEMENTS (acts))];
}

void
plan_make (soak_t *soak)
{
  GRand *rand = g_rand_new_with_seed (soak->seed);
  soak->plan = g_array_new (FALSE, FALSE, sizeof (action_t));
  double end_s = soak->seconds - CALM_S;
  double at_s = WARM_UP_S;
  double series_s = soak->has_cuts ? CALM_SERIES_S : SERIES_S;
  while ((at_s += g_rand_double_range (rand, 0, 2 * series_s)) < end_s)
    {
      int n = g_rand_int_range (rand, 0, 3)
                  ? 1
                  : g_rand_int_range (rand, 2, SERIES_MOST);
      act_t same = draw_act (rand);
      bool mixed = g_rand_boolean (rand);
      double when_s = at_s;
      for (int i = 0; i < n && when_s < end_s; i++)
        {
          action_t action = { .at_s = when_s,
                              .act = mixed ? draw_act (rand) : same,
                              .target = g_rand_int (rand),
                              .value = g_rand_int (rand) };
          g_array_append_val (soak->plan, action);
          when_s += g_rand_double_range (rand, 0, 2 * WITHIN_S);
        }
      at_s = when_s;
    }
  g_rand_free (rand);
  drills_plan (soak);
  cuts_plan (soak);
  parts_plan (soak);
}

static void
append_route (const soak_t *soak, GString *text, const char *prefix,
              const soak_route_t *route, const char *service)
{
  static const char *const kinds[]
      = { "idempotent", "non_idempotent", "stream", "stream" };
  char *fields = parts_route_fields (soak, route);
  g_string_append_printf (
      text,
      "%s{\"name\":\"r%c\",\"hostname\":\"h.example\",\"path_prefix\":\"%s\","
      "\"backend\":\"%s\",\"kind\":\"%s\",\"resumable\":%s,"
      "\"max_attempts\":%d,\"timeout_ms\":%d,\"target_latency_ms\":500%s%s}",
      text->str[text->len - 1] == '[' ? "" : ",", prefix[1], prefix, service,
      kinds[route->kind], route->kind == SOAK_RESUMABLE ? "true" : "false",
      route->attempts, route->is_long ? 2 * LONG_MS : TIMEOUT_MS,
      route->engine ? ",\"sticky\":true" : "", fields);
  g_free (fields);
}

/* Plain routes change places between "desk" and "tally" when they move.  */
const char *
route_service (const soak_t *soak, const soak_route_t *route)
{
  bool even = (route - soak_routes) % 2 == 0;
  return route->engine ? "engine" : even == soak->moved ? "desk" : "tally";
}

void
config_put (soak_t *soak)
{
  soak->version += 3;
  soak->config_ns = soak_now_ns ();
  config_write (soak);
}

void
config_write (soak_t *soak)
{
  static const soak_route_t extra
      = { "/x/", SOAK_IDEMPOTENT, 2, false, false };
  GString *text = g_string_new (NULL);
  char *fields = parts_service_fields (soak);
  g_string_append_printf (
      text,
      "{\"version\":%d,\"services\":[{\"name\":\"desk\"%s},{\"name\":"
      "\"tally\"},"
      "{\"name\":\"engine\",\"engine\":{\"weights_mb\":1000,"
      "\"adapter_slots\":2,\"loads_per_s\":1,\"models\":[{\"name\":\"m\","
      "\"weights_mb\":100,\"load_s\":1,\"adapters\":0,\"adapter_mb\":1}]}}],"
      "\"tenants\":[],\"routes\":[",
      soak->version, fields);
  g_free (fields);
  size_t n = soak->is_calm ? n_soak_routes : n_first_routes;
  for (size_t i = 0; i < n; i++)
    append_route (soak, text, soak_routes[i].prefix, &soak_routes[i],
                  route_service (soak, &soak_routes[i]));
  if (soak->has_extra_route)
    append_route (soak, text, extra.prefix, &extra, "desk");
  g_string_append (text, "]}");
  fake_store_put (soak->store, "op", "config", text->str);
  g_string_free (text, TRUE);
}

/* An entry of another writer among those of the servers.  */
static void
put_odd_entry (const soak_t *soak, unsigned value)
{
  GArray *entries = odd_entries ("desk", unused_address ());
  const odd_t *odd = &g_array_index (entries, odd_t, value % entries->len);
  char key[16];
  g_snprintf (key, sizeof key, "odd%u", value / 64 % 4);
  fake_store_put_bytes (soak->store, "servers", key, odd->bytes, odd->size);
  g_array_unref (entries);
}

static void
disturb_store (soak_t *soak, unsigned value)
{
  fake_store_set_silent (soak->store, true);
  soak->store_back_ns
      = soak_now_ns () + (int64_t)(100 + value % SILENT_MS) * KWF_NS_PER_MS;
}

/* SIGTERM of half of the instances.  */
static void
term_many (soak_t *soak, int first)
{
  for (int i = 0; i < (soak->n_instances + 1) / 2; i++)
    instance_signal (soak, (first + i) % soak->n_instances, SIGTERM, 0);
}

/* A change of the configuration around SIGHUP of all.  */
static void
hup_all (soak_t *soak, unsigned value)
{
  soak->has_extra_route ^= value & 1;
  if (value & 2)
    config_put (soak);
  for (int i = 0; i < soak->n_instances; i++)
    instance_signal (soak, i, SIGHUP, 0);
  if (!(value & 2))
    config_put (soak);
}

static void
carry_out (soak_t *soak, const action_t *action)
{
  int i = (int)(action->target % (unsigned)soak->n_instances);
  backend_t *backend
      = &soak->backends[action->target % (unsigned)soak->n_backends];
  soak->acts[action->act]++;
  switch (action->act)
    {
    case ACT_TERM:
      instance_signal (soak, i, SIGTERM, 0);
      break;
    case ACT_TERM_MANY:
      term_many (soak, i);
      break;
    case ACT_TERM_AGAIN:
      instance_term_again (soak, i, action->value);
      break;
    case ACT_RESTART:
      instance_restart (soak, i, action->value);
      break;
    case ACT_KILL:
      instance_signal (soak, i, SIGKILL, 0);
      break;
    case ACT_STOP:
      instance_signal (soak, i, SIGSTOP, action->value);
      break;
    case ACT_HUP:
      instance_signal (soak, i, SIGHUP, 0);
      break;
    case ACT_HUP_ALL:
      hup_all (soak, action->value);
      break;
    case ACT_CONFIG:
      soak->has_extra_route ^= action->value & 1;
      soak->moved ^= action->value >> 1 & 1;
      config_put (soak);
      break;
    case ACT_ODD_ENTRY:
      put_odd_entry (soak, action->value);
      break;
    case ACT_SERVER_KILL:
      backend_kill (backend, action->value);
      break;
    case ACT_SERVER_FREEZE:
      backend_freeze (backend, action->value);
      break;
    case ACT_SERVER_LEAVE:
      backend_leave (backend, action->value);
      break;
    case ACT_SERVICE_FAIL:
      backend_fail_service (backend, action->value);
      break;
    case ACT_EVACUATE:
    case ACT_READMIT:
      parts_evacuate (soak, action->target, action->act == ACT_EVACUATE);
      break;
    case ACT_DRILL:
      drill_begin (soak, action->value);
      break;
    case ACT_CUT:
      cut_start (soak, action->target, action->value);
      break;
    case ACT_COLD_CENTRE:
      parts_restart_centre (soak, action->target, action->value);
      break;
    default:
      disturb_store (soak, action->value);
      break;
    }
}

void
plan_run (soak_t *soak)
{
  int64_t now_ns = soak_now_ns ();
  double at_s = (double)(now_ns - soak->start_ns) / (double)KWF_NS_PER_S;
  if (soak->store_back_ns && now_ns >= soak->store_back_ns)
    {
      drill_end (soak);
      fake_store_set_silent (soak->store, false);
      soak->store_back_ns = 0;
      soak->store_calm_ns = now_ns;
    }
  drills_tick (soak, now_ns);
  cuts_tick (soak, now_ns);
  if (!soak->is_calm && at_s >= soak->seconds - CALM_S)
    {
      soak->is_calm = true;
      config_put (soak);
    }
  while (soak->next_action < soak->plan->len)
    {
      const action_t *action
          = &g_array_index (soak->plan, action_t, soak->next_action);
      if (action->at_s > at_s)
        return;
      soak->next_action++;
      carry_out (soak, action);
    }
}
