/* Reads the list "plans": organisations, each with the name of its plan and
   its branch.  The plans themselves are in the list "uses".  */

#include "lists-data.h"

#include <string.h>

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

static const char *const override_keys[]
    = { "rate", "burst", "priority", "models", "adapters", "services" };

/* Set *VALUE to the branch's own limit KEY, if the field is present.  A branch
   may lower a limit of the plan, but not raise it: a limit above MOST is
   reported.  */
static void
override_number (const finding_location_t *location, const char *key,
                 const plan_t *plan, double most, double *value)
{
  double wanted;
  if (!finding_read_real (location, key, false, 0, LISTS_MAX_BURST, &wanted))
    return;
  if (wanted > most)
    finding_report (location, key, NULL, finding_value (location, key),
                    "at most %.12g, the limit of plan \"%s\"", most,
                    plan->name);
  else
    *value = wanted;
}

/* As override_number, for the priority.  */
static void
override_priority (const finding_location_t *location, const plan_t *plan,
                   kwf_priority_t *value)
{
  size_t wanted;
  if (!finding_read_choice (location, "priority", lists_priority_names,
                            COUNT (lists_priority_names), &wanted))
    return;
  if (wanted < (size_t)plan->priority)
    finding_report (location, "priority", NULL,
                    finding_value (location, "priority"),
                    "not above \"%s\", the priority of plan \"%s\"",
                    lists_priority_names[plan->priority], plan->name);
  else
    *value = (kwf_priority_t)wanted;
}

/* Set *VALUE to the branch's own names KEY, and report those that are not in
   ALLOWED: a branch may omit names of the plan, but not add any.  Return
   whether the field is present.  */
static bool
override_names (kwf_lists_t *lists, const finding_location_t *location,
                const char *key, const char *kind, const names_t *allowed,
                names_t *value)
{
  names_t wanted = { 0 };
  if (!lists_read_names (lists, location, key, kind, NULL, &wanted))
    return false;
  for (size_t i = 0; i < wanted.n_items; i++)
    if (!names_contain (allowed, wanted.items[i]))
      lists_report_unknown (location, key, kind, wanted.items[i],
                            allowed->items, allowed->n_items);
  *value = wanted;
  return true;
}

static bool
contains_model_of (const names_t *models, const char *qualified_adapter)
{
  char *model
      = g_strndup (qualified_adapter, strcspn (qualified_adapter, "/"));
  bool found = names_contain (models, model);
  g_free (model);
  return found;
}

/* Adapters of the plan whose models the branch has kept.  */
static names_t
remaining_adapters (kwf_lists_t *lists, const names_t *adapters,
                    const names_t *models)
{
  names_t left = { .items = lists_alloc_names (lists, adapters->n_items) };
  for (size_t i = 0; i < adapters->n_items; i++)
    if (contains_model_of (models, adapters->items[i]))
      left.items[left.n_items++] = adapters->items[i];
  return left;
}

/* Set *MODELS and *ADAPTERS to the branch's own.  Without the field "adapters"
   the branch has the plan's adapters of its models.  */
static void
override_models_and_adapters (kwf_lists_t *lists,
                              const finding_location_t *location,
                              const plan_t *plan, names_t *models,
                              names_t *adapters)
{
  bool models_given = override_names (
      lists, location, "models", "a model of the plan", &plan->models, models);
  if (!override_names (lists, location, "adapters", "an adapter of the plan",
                       &plan->adapters, adapters))
    {
      if (models_given)
        *adapters = remaining_adapters (lists, &plan->adapters, models);
      return;
    }
  for (size_t i = 0; i < adapters->n_items; i++)
    if (names_contain (&plan->adapters, adapters->items[i])
        && !contains_model_of (models, adapters->items[i]))
      finding_report (location, "adapters", adapters->items[i],
                      adapters->items[i], "adapters of the branch's models");
}

static void
check_branch (const finding_location_t *location, const char *branch)
{
  if (branch)
    return;
  for (size_t i = 0; i < COUNT (override_keys); i++)
    if (toml_type (location->table, override_keys[i]) != TOML_ABSENT)
      finding_report (location, override_keys[i], NULL,
                      finding_value (location, override_keys[i]),
                      "only together with \"branch\"");
}

static const plan_t *
find_plan (kwf_lists_t *lists, const finding_location_t *location)
{
  const char *name = NULL;
  if (!finding_read_name (location, "plan", true, &name))
    return NULL;
  const plan_t *plan = g_hash_table_lookup (lists->plan_by_name, name);
  if (plan)
    return plan;
  guint n;
  gpointer *names = g_hash_table_get_keys_as_array (lists->plan_by_name, &n);
  lists_report_unknown (location, "plan", "a plan", name,
                        (const char *const *)names, n);
  g_free (names);
  return NULL;
}

static void
read_organisation (kwf_lists_t *lists, const finding_location_t *location)
{
  static const char *const keys[]
      = { "name",     "plan",   "branch",   "rate",    "burst",
          "priority", "models", "adapters", "services" };
  finding_unknown_keys (location, keys, COUNT (keys));
  const char *name = NULL;
  const char *branch = NULL;
  finding_read_name (location, "name", true, &name);
  finding_read_name (location, "branch", false, &branch);
  check_branch (location, branch);
  const plan_t *plan = find_plan (lists, location);
  if (!plan)
    return;
  double rate = plan->rate;
  double burst = plan->burst;
  kwf_priority_t priority = plan->priority;
  names_t models = plan->models;
  names_t adapters = plan->adapters;
  names_t services = plan->services;
  override_number (location, "rate", plan, plan->rate, &rate);
  override_number (location, "burst", plan, plan->burst, &burst);
  override_priority (location, plan, &priority);
  override_models_and_adapters (lists, location, plan, &models, &adapters);
  override_names (lists, location, "services", "a service of the plan",
                  &plan->services, &services);
  if (!name)
    return;
  kwf_organisation_t *organisation = g_new0 (kwf_organisation_t, 1);
  *organisation = (kwf_organisation_t){
    .name = lists_intern_string (lists, name),
    .plan = plan->name,
    .branch = lists_intern_string (lists, branch ? branch : ""),
    .rate = rate,
    .burst = burst,
    .priority = priority,
    .models = models.items,
    .n_models = models.n_items,
    .adapters = adapters.items,
    .n_adapters = adapters.n_items,
    .services = services.items,
    .n_services = services.n_items,
  };
  if (!lists_add (lists->organisations, lists->organisation_by_name,
                  organisation->name, organisation))
    finding_report (location, "name", NULL, name, "a name used once");
}

void
lists_read_plans (kwf_lists_t *lists, finding_source_t *source)
{
  static const char *const headers[] = { "organisation" };
  finding_location_t root
      = { .source = source, .table = toml_root (source->document) };
  finding_unknown_keys (&root, headers, COUNT (headers));
  lists_each_table (lists, source, "organisation", read_organisation);
}
