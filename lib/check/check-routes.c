/* Checks of lists with routes.  */

#include "check.h"

#include <glib.h>
#include <stdarg.h>

#include <knapweedfork/clock.h>

typedef struct
{
  const check_names_t *names;
  kwf_finding_fn_t fn;
  void *data;
  size_t n_findings;
} report_t;

static void __attribute__ ((format (printf, 6, 7)))
report (report_t *to, const char *array, const char *name, const char *field,
        const char *found, const char *allowed_format, ...)
{
  kwf_finding_t finding = { .line = 0 };
  g_strlcpy (finding.file, to->names->file, sizeof finding.file);
  g_snprintf (finding.field, sizeof finding.field, "%s[\"%s\"]%s%s", array,
              name, field ? "." : "", field ? field : "");
  g_strlcpy (finding.found, found, sizeof finding.found);
  va_list args;
  va_start (args, allowed_format);
  g_vsnprintf (finding.allowed, sizeof finding.allowed, allowed_format, args);
  va_end (args);
  to->n_findings++;
  if (to->fn)
    to->fn (&finding, to->data);
}

/* Report what is wrong with ROUTE, and add its services to USED.  */
static void
check_route (report_t *to, const kwf_lists_t *lists, const kwf_route_t *route,
             GHashTable *used)
{
  const check_names_t *names = to->names;
  for (size_t i = 0; i < route->n_splits; i++)
    {
      const char *service = route->splits[i].service;
      g_hash_table_add (used, (void *)service);
      if (!kwf_lists_service (lists, service))
        report (to, names->routes, route->name, names->service, service,
                "a service in \"%s\"", names->services);
    }
  if (route->timeout_ns && route->timeout_ns < route->objective_ns)
    {
      char found[32];
      g_snprintf (found, sizeof found, "%.12g",
                  (double)route->timeout_ns / (double)KWF_NS_PER_MS);
      report (to, names->routes, route->name, names->timeout, found,
              "at least %.12g, the value of \"%s\"",
              (double)route->objective_ns / (double)KWF_NS_PER_MS,
              names->objective);
    }
}

static void
check_organisation (report_t *to, const kwf_organisation_t *organisation)
{
  /* What the largest request costs that the lists name.  */
  double largest = organisation->by_request ? 1 : organisation->plain_tokens;
  double least = MAX (organisation->rate, largest);
  char found[32];
  g_snprintf (found, sizeof found, "%.12g", organisation->burst);
  /* A rate of 0 sets no limit.  */
  if (organisation->rate > 0 && organisation->burst < least)
    report (to, to->names->organisations, organisation->name, to->names->burst,
            found, "at least %.12g, %s", least,
            largest > organisation->rate ? "the cost of one request"
                                         : "the rate for one second");
}

size_t
check_routed_lists (const kwf_lists_t *lists, const check_names_t *names,
                    check_has_key_fn_t has_key, const void *keys,
                    kwf_finding_fn_t fn, void *data)
{
  report_t to = { .names = names, .fn = fn, .data = data };
  GHashTable *used = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < kwf_lists_n_routes (lists); i++)
    check_route (&to, lists, kwf_lists_route_at (lists, i), used);
  for (size_t i = 0; i < kwf_lists_n_services (lists); i++)
    {
      const char *name = kwf_lists_service_at (lists, i)->name;
      if (!g_hash_table_contains (used, name))
        report (&to, names->services, name, NULL, name,
                "a service that a route names");
    }
  for (size_t i = 0; i < kwf_lists_n_organisations (lists); i++)
    {
      const kwf_organisation_t *organisation
          = kwf_lists_organisation_at (lists, i);
      check_organisation (&to, organisation);
      if (!has_key (organisation->name, keys))
        report (&to, names->organisations, organisation->name, names->keys,
                "nothing", "at least one key");
    }
  g_hash_table_destroy (used);
  return to.n_findings;
}
