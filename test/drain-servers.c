#include "drain-servers.h"

#include "lib/backend.h"
#include "lib/fanout.h"

struct known_servers
{
  const kwf_clock_t *clock;
  backend_t *backend;
  kwf_effects_t *effects;
};

known_servers_t *
known_servers_new (const char *instance, const kwf_clock_t *clock,
                   int64_t fresh_ns)
{
  known_servers_t *known = g_new0 (known_servers_t, 1);
  known->clock = clock;
  known->effects = kwf_effects_new ();
  known->backend
      = backend_new (&(kwf_core_options_t){ .instance = instance,
                                            .clock = clock,
                                            .fresh_ns = fresh_ns,
                                            .probe_ns = KWF_NS_PER_S,
                                            .push_updates = true });
  return known;
}

void
known_servers_free (known_servers_t *known)
{
  backend_free (known->backend);
  kwf_effects_free (known->effects);
  g_free (known);
}

void
known_servers_step (known_servers_t *known, const kwf_event_t *event)
{
  backend_report_t report;
  kwf_effects_clear (known->effects);
  backend_step (known->backend, event, known->effects, &report);
}

bool
known_servers_uses (const known_servers_t *known, const char *id)
{
  const server_t *server = backend_find (known->backend, id);
  return server && server_usable (server, kwf_now_ns (known->clock));
}

int64_t
relay_max_age_ns (int64_t fresh_ns)
{
  return fanout_role_max_age_ns (FANOUT_RELAY, fresh_ns);
}

int64_t
leaf_max_age_ns (int64_t fresh_ns)
{
  return fanout_role_max_age_ns (FANOUT_LEAF, fresh_ns);
}
