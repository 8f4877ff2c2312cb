#include "placement-state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "placement-direct.h"
#include "op.h"

#define ROUND_NS (1 * KWF_NS_PER_S)
/* Least time between two rounds that were requested by events.  */
#define ROUND_MIN_NS (50 * KWF_NS_PER_MS)
/* See ledger_options_t and docs/design.md section 13.  */
#define SEND_LIMIT_NS (1 * KWF_NS_PER_S)
#define MAX_ORDER_DELAY_NS (60 * KWF_NS_PER_S)
/* Maximum age of an engine's load report when it arrives.  */
#define MAX_REPORT_LAG_NS (5 * KWF_NS_PER_S)
/* The memory of an adapter is its model's memory divided by this.  */
#define ADAPTER_DIVISOR 50

const char *
placement_model_version (const kwf_model_t *model)
{
  return model->version ? model->version : "";
}

/* Callbacks of the ledger.  */

static bool
may_send_orders (void *data)
{
  const placement_t *placement = data;
  return session_may_act (placement->sources.session);
}

static ledger_process_state_t
process_state (void *data, const char *instance, uint64_t incarnation)
{
  const placement_t *placement = data;
  const session_t *session = placement->sources.session;
  int64_t version;
  if (session_process_ended (session, instance, incarnation))
    return LEDGER_PROCESS_ENDED;
  return session_lease_is_over (session, instance, incarnation, &version)
             ? LEDGER_PROCESS_EXPIRED
             : LEDGER_PROCESS_ALIVE;
}

/* Engines load adapters on request, without an order, so their memory is
   reserved with the model.  */
int64_t
placement_model_size_mb (const kwf_model_t *model)
{
  int64_t adapter_mb
      = (model->memory_mb + ADAPTER_DIVISOR - 1) / ADAPTER_DIVISOR;
  return model->memory_mb + (int64_t)model->n_adapters * adapter_mb;
}

/* The memory of an adapter is part of its model's reservation.  A model that
   isn't in the lists counts like the largest listed one: its size isn't known,
   and a size that is too small would overcommit the engine's memory.  */
static int64_t
item_size_mb (void *data, const ledger_item_t *item)
{
  const placement_t *placement = data;
  const kwf_lists_t *lists = config_lists (placement->sources.config);
  const kwf_model_t *model = kwf_lists_model (lists, item->model);
  int64_t mb = 0;
  if (*item->adapter)
    return 0;
  if (model)
    return placement_model_size_mb (model);
  for (size_t i = 0; i < kwf_lists_n_models (lists); i++)
    mb = MAX (mb, placement_model_size_mb (kwf_lists_model_at (lists, i)));
  return mb;
}

static bool
is_cold (void *data, const ledger_item_t *item)
{
  const placement_t *placement = data;
  const kwf_lists_t *lists = config_lists (placement->sources.config);
  return (lists && !kwf_lists_model (lists, item->model))
         || demand_is_cold (placement->sources.demand, item->model, NULL);
}

static bool
find_replacement (void *data, const ledger_item_t *item, ledger_item_t *next)
{
  const placement_t *placement = data;
  const kwf_lists_t *lists = config_lists (placement->sources.config);
  const kwf_model_t *model
      = lists ? kwf_lists_model (lists, item->model) : NULL;
  if (!model || strcmp (placement_model_version (model), item->version) == 0)
    return false;
  *next = (ledger_item_t){ item->model,
                           (char *)placement_model_version (model), "" };
  return true;
}

static char *
demand_json (void *data)
{
  const placement_t *placement = data;
  return demand_to_json (placement->sources.demand);
}

static void
eviction_plan_free (gpointer data)
{
  eviction_plan_t *plan = data;
  g_free (plan->server_id);
  g_free (plan);
}

placement_t *
placement_new (const kwf_core_options_t *options,
               const placement_sources_t *sources)
{
  placement_t *placement = g_new0 (placement_t, 1);
  placement->options = options->placement;
  placement->instance = g_strdup (options->instance);
  placement->clock = options->clock;
  placement->sources = *sources;
  /* Where updates are pushed the engines check the number of their orders, so
     no ledger is needed.  */
  if (options->push_updates)
    {
      placement->direct = placement_direct_new (options, sources);
      return placement;
    }
  placement->ledger = ledger_new (
      &(ledger_options_t){ .instance = options->instance,
                           .incarnation = options->incarnation,
                           .clock = options->clock,
                           .random = options->random,
                           .send_limit_ns = SEND_LIMIT_NS,
                           .max_order_delay_ns = MAX_ORDER_DELAY_NS,
                           .max_report_lag_ns = MAX_REPORT_LAG_NS,
                           .callbacks = { .may_send_orders = may_send_orders,
                                          .process_state = process_state,
                                          .size = item_size_mb,
                                          .is_cold = is_cold,
                                          .replacement = find_replacement,
                                          .data = placement } });
  placement->load_budget = load_budget_new (options);
  placement->eviction_plans = g_hash_table_new_full (
      g_str_hash, g_str_equal, g_free, eviction_plan_free);
  placement->unplaced
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (placement->options.dynamic)
    session_set_demand (sources->session, demand_json, placement);
  return placement;
}

void
placement_free (placement_t *placement)
{
  if (!placement)
    return;
  /* DIRECT is the placement without reservations.  If it exists, the ledger,
     the load budget and the two hash tables do not.  */
  placement_direct_free (placement->direct);
  g_free (placement->instance);
  if (placement->direct)
    {
      g_free (placement);
      return;
    }
  ledger_free (placement->ledger);
  load_budget_free (placement->load_budget);
  g_hash_table_unref (placement->eviction_plans);
  g_hash_table_unref (placement->unplaced);
  g_free (placement);
}

/* The leader.  */

/* Return the live member that ranks first by rendezvous hashing; NULL: this
   instance has not read the table yet.  */
static const char *
find_leader (const placement_t *placement)
{
  static const char key[] = "placement";
  const session_t *session = placement->sources.session;
  uint64_t seed = XXH64 (key, strlen (key), 0);
  const char *first = NULL;
  uint64_t first_rank = 0;
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      if (member.expired || member.leaving)
        continue;
      uint64_t rank = XXH64 (member.instance, strlen (member.instance), seed);
      if (first && rank <= first_rank)
        continue;
      first = member.instance;
      first_rank = rank;
    }
  return session_revision (session) ? first : NULL;
}

static void
choose_leader (placement_t *placement, kwf_effects_t *effects)
{
  const char *leader = find_leader (placement);
  bool is_leader = leader && strcmp (leader, placement->instance) == 0;
  if (is_leader != placement->is_leader)
    kwf_effects_log (effects, 357, KWF_LOG_INFO, NULL,
                     is_leader ? "this instance decides on placement"
                               : "another instance decides on placement");
  placement->is_leader = is_leader;
  /* Without the lists the sizes of models aren't known.  */
  ledger_set_active (placement->ledger,
                     is_leader && config_lists (placement->sources.config));
}

/* Events.  */

/* Request a round as soon as ROUND_MIN_NS allows.  */
static void
schedule_round_soon (placement_t *placement)
{
  int64_t soon_ns = MAX (kwf_now_ns (placement->clock),
                         placement->last_round_ns + ROUND_MIN_NS);
  placement->next_round_ns = MIN (placement->next_round_ns, soon_ns);
}

static void
apply_rows (placement_t *placement, const session_changes_t *changes)
{
  for (size_t i = 0; changes->fresh && i < changes->n_rows; i++)
    {
      const kwf_row_t *row = &changes->rows[i];
      if (g_str_has_prefix (row->key, "ledger/"))
        {
          ledger_apply_row (placement->ledger, row);
          placement->ledger_changed = true;
        }
      if (!g_str_has_prefix (row->key, "session/"))
        continue;
      /* The first rows that are read may contain this instance's row of its
         former process, whose demand still counts for a while.  */
      const char *instance = row->key + strlen ("session/");
      if (strcmp (instance, placement->instance) != 0 || !placement->has_rows)
        demand_apply_row (placement->sources.demand, instance, row->value);
    }
  placement->has_rows |= changes->fresh;
}

static void
handle_report (placement_t *placement, const kwf_report_event_t *report)
{
  const server_t *server
      = backend_find (placement->sources.backend, report->server);
  if (!server || server->kind != KWF_MEMBER_ENGINE)
    return;
  kwf_report_event_t copy = *report;
  copy.leaving = report->leaving || server->member_leaving || !server->listed;
  ledger_handle_report (placement->ledger, &copy, server->address);
  /* Models of a failed engine may have demand.  */
  if (!report->valid)
    schedule_round_soon (placement);
}

static void
handle_event (placement_t *placement, const kwf_event_t *event,
              kwf_effects_t *effects)
{
  switch (event->type)
    {
    case KWF_EV_STORE_REPLY:
      if (!ledger_handle_txn_reply (placement->ledger, event->store.op,
                                    &event->store.reply, effects))
        return;
      placement->ledger_changed = true;
      schedule_round_soon (placement);
      break;
    case KWF_EV_ORDER_REPLY:
      placement->counts.error_replies += event->order.status >= 400;
      ledger_handle_order_reply (placement->ledger, &event->order, effects);
      break;
    case KWF_EV_REPORT:
      handle_report (placement, &event->report);
      break;
    case KWF_EV_PEER_MESSAGE:
      if (event->peer.message->type != KWF_MSG_DEMAND)
        return;
      demand_apply_row (placement->sources.demand, event->peer.instance,
                        event->peer.message->demand_text);
      schedule_round_soon (placement);
      break;
    default:
      break;
    }
}

/* Mark the models that are being unloaded, so that they receive no new
   requests.  */
static void
mark_unloading (placement_t *placement)
{
  if (!placement->ledger_changed)
    return;
  placement->ledger_changed = false;
  for (size_t i = 0; i < ledger_n_servers (placement->ledger); i++)
    {
      ledger_server_t server = ledger_server_at (placement->ledger, i);
      server_t *known = backend_find (placement->sources.backend, server.id);
      if (!server.row || !known)
        continue;
      GHashTable *unloading
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      for (guint k = 0; k < server.row->entries->len; k++)
        {
          const ledger_entry_t *entry = server.row->entries->pdata[k];
          if (entry->state == LEDGER_ENTRY_UNLOADING && !*entry->item.adapter)
            g_hash_table_add (unloading, g_strdup (entry->item.model));
        }
      for (guint k = 0; k < server.row->entries->len; k++)
        {
          const ledger_entry_t *entry = server.row->entries->pdata[k];
          if (entry->state == LEDGER_ENTRY_RESIDENT && !*entry->item.adapter)
            g_hash_table_remove (unloading, entry->item.model);
        }
      backend_set_unloading (known, unloading);
    }
}

void
placement_step (placement_t *placement, const kwf_event_t *event,
                const session_changes_t *changes, kwf_effects_t *effects)
{
  if (!placement->options.dynamic)
    return;
  if (placement->direct)
    {
      placement_direct_step (placement->direct, event, changes, effects);
      return;
    }
  int64_t now_ns = kwf_now_ns (placement->clock);
  apply_rows (placement, changes);
  choose_leader (placement, effects);
  handle_event (placement, event, effects);
  if (event->type == KWF_EV_TICK)
    ledger_tick (placement->ledger, effects);
  const kwf_lists_t *lists = config_lists (placement->sources.config);
  if (placement->is_leader && now_ns >= placement->next_round_ns)
    {
      if (lists && session_may_act (placement->sources.session))
        placement_run_round (placement, lists, effects);
      placement->last_round_ns = now_ns;
      placement->next_round_ns = now_ns + ROUND_NS;
    }
  mark_unloading (placement);
}

void
placement_send_demand (placement_t *placement, kwf_effects_t *effects)
{
  demand_t *demand = placement->sources.demand;
  if (placement->options.dynamic && placement->direct)
    {
      placement_direct_send_demand (placement->direct, effects);
      return;
    }
  if (!placement->options.dynamic || !demand_consume_new_waiting (demand))
    return;
  if (placement->is_leader)
    {
      schedule_round_soon (placement);
      return;
    }
  const char *leader = find_leader (placement);
  if (!leader)
    return;
  char *text = demand_to_json (demand);
  const char *copy = kwf_effects_strdup (effects, text);
  session_send (leader, KWF_MSG_DEMAND, effects)->demand_text = copy;
  g_free (text);
}

int64_t
placement_next_tick_ns (const placement_t *placement)
{
  if (!placement->options.dynamic)
    return INT64_MAX;
  if (placement->direct)
    return placement_direct_next_tick_ns (placement->direct);
  if (placement->is_leader)
    return MIN (placement->next_round_ns,
                ledger_next_tick_ns (placement->ledger));
  return ledger_is_idle (placement->ledger)
             ? INT64_MAX
             : ledger_next_tick_ns (placement->ledger);
}

void
placement_set_able (placement_t *placement, bool able)
{
  if (placement->direct)
    placement_direct_set_able (placement->direct, able);
}

void
placement_resign (placement_t *placement, kwf_effects_t *effects)
{
  if (placement->direct && placement->options.dynamic)
    placement_direct_resign (placement->direct, effects);
}
