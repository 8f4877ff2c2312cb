/* Checks of the two lists "plans" and "uses".  */

#include "check.h"

#include <string.h>

#include "../lists-data.h"
#include "../text.h"

typedef struct
{
  const kwf_lists_t *lists;
  finding_source_t plans;
  finding_source_t uses;
  GHashTable *allowed_models; /* names that a plan has */
  GHashTable *allowed_services;
  GHashTable *used_plans; /* names that an organisation has */
} check_t;

/* Tables are in the order of the text, because the lists are valid.  */
static finding_location_t
location_of (finding_source_t *source, const char *header, size_t i)
{
  return (finding_location_t){
    .source = source, .header = header, .index = i, .array = true
  };
}

static void
add_names (GHashTable *set, const names_t *names)
{
  for (size_t i = 0; i < names->n_items; i++)
    g_hash_table_add (set, (void *)names->items[i]);
}

static void
check_unused (check_t *check)
{
  const kwf_lists_t *lists = check->lists;
  for (size_t i = 0; i < lists->models->len; i++)
    {
      const char *name = kwf_lists_model_at (lists, i)->name;
      finding_location_t at = location_of (&check->uses, "model", i);
      if (!g_hash_table_contains (check->allowed_models, name))
        finding_report (&at, "name", NULL, name, "a model that a plan has");
    }
  for (size_t i = 0; i < lists->services->len; i++)
    {
      const kwf_service_t *service = kwf_lists_service_at (lists, i);
      finding_location_t at = location_of (&check->uses, "service", i);
      /* An open service needs no key, and so no plan.  */
      if (!service->open
          && !g_hash_table_contains (check->allowed_services, service->name))
        finding_report (&at, "name", NULL, service->name,
                        "a service that a plan has, or an open one");
    }
  for (size_t i = 0; i < lists->plans->len; i++)
    {
      const plan_t *plan = g_ptr_array_index (lists->plans, i);
      finding_location_t at = location_of (&check->uses, "plan", i);
      if (!g_hash_table_contains (check->used_plans, plan->name))
        finding_report (&at, "name", NULL, plan->name,
                        "a plan that an organisation has");
    }
}

/* A burst below the rate for one second makes the rate unreachable for callers
   that send once a second.  */
static void
check_burst (const finding_location_t *at, double rate, double burst)
{
  char found[32];
  g_snprintf (found, sizeof found, "%.12g", burst);
  if (burst < rate)
    finding_report (at, "burst", NULL, found,
                    "at least %.12g, the rate for one second", rate);
}

/* Report KEY of an organisation if it is set to the plan's own value.  */
static void
check_void (const finding_location_t *at, const char *key, bool same)
{
  const char *text = at->source->text;
  if (same
      && text_line (text, at->header, at->index, key)
             != text_line (text, at->header, at->index, NULL))
    finding_report (at, key, NULL, "the limit of the plan",
                    "a lower limit than the plan's, or no field");
}

static void
check_limits (check_t *check)
{
  const kwf_lists_t *lists = check->lists;
  for (size_t i = 0; i < lists->plans->len; i++)
    {
      const plan_t *plan = g_ptr_array_index (lists->plans, i);
      finding_location_t at = location_of (&check->uses, "plan", i);
      check_burst (&at, plan->rate, plan->burst);
    }
  for (size_t i = 0; i < lists->organisations->len; i++)
    {
      const kwf_organisation_t *o = kwf_lists_organisation_at (lists, i);
      const plan_t *plan = g_hash_table_lookup (lists->plan_by_name, o->plan);
      finding_location_t at = location_of (&check->plans, "organisation", i);
      bool same_rate = o->rate >= plan->rate;
      bool same_burst = o->burst >= plan->burst;
      check_void (&at, "rate", same_rate);
      check_void (&at, "burst", same_burst);
      check_void (&at, "priority", o->priority == plan->priority);
      /* If both are the plan's, the plan has been reported.  */
      if (!same_rate || !same_burst)
        check_burst (&at, o->rate, o->burst);
    }
}

size_t
check_lists (const kwf_lists_t *lists, const check_text_t *plans,
             const check_text_t *uses, kwf_finding_fn_t fn, void *data)
{
  check_t check = {
    .lists = lists,
    .plans
    = { .file = plans->file, .text = plans->text, .fn = fn, .data = data },
    .uses = { .file = uses->file, .text = uses->text, .fn = fn, .data = data },
    .allowed_models = g_hash_table_new (g_str_hash, g_str_equal),
    .allowed_services = g_hash_table_new (g_str_hash, g_str_equal),
    .used_plans = g_hash_table_new (g_str_hash, g_str_equal),
  };
  for (size_t i = 0; i < lists->plans->len; i++)
    {
      const plan_t *plan = g_ptr_array_index (lists->plans, i);
      add_names (check.allowed_models, &plan->models);
      add_names (check.allowed_services, &plan->services);
    }
  for (size_t i = 0; i < lists->organisations->len; i++)
    g_hash_table_add (check.used_plans,
                      (void *)kwf_lists_organisation_at (lists, i)->plan);
  check_unused (&check);
  check_limits (&check);
  g_hash_table_destroy (check.allowed_models);
  g_hash_table_destroy (check.allowed_services);
  g_hash_table_destroy (check.used_plans);
  return check.plans.n_findings + check.uses.n_findings;
}
