#include "ledger-row.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Memory of an engine at most, and fencing tokens, which are counted up.  */
#define MEMORY_MAX_MB INT64_C (1000000000000)
#define FENCE_MAX (INT64_MAX / 2)

static const char *const states[] = { "loading", "resident", "unloading" };
static const char *const kinds[] = { "load", "unload" };

static ledger_item_t
item_copy (const ledger_item_t *item)
{
  return (ledger_item_t){ g_strdup (item->model), g_strdup (item->version),
                          g_strdup (item->adapter) };
}

static void
item_clear (ledger_item_t *item)
{
  g_free (item->model);
  g_free (item->version);
  g_free (item->adapter);
}

bool
ledger_item_equal (const ledger_item_t *a, const ledger_item_t *b)
{
  return strcmp (a->model, b->model) == 0
         && strcmp (a->version, b->version) == 0
         && strcmp (a->adapter, b->adapter) == 0;
}

static void
entry_free (gpointer data)
{
  ledger_entry_t *entry = data;
  item_clear (&entry->item);
  g_free (entry);
}

static void
order_free (gpointer data)
{
  ledger_order_t *order = data;
  g_free (order->id);
  g_free (order->holder);
  item_clear (&order->item);
  g_free (order);
}

ledger_row_t *
ledger_row_new (void)
{
  ledger_row_t *row = g_new0 (ledger_row_t, 1);
  row->entries = g_ptr_array_new_with_free_func (entry_free);
  row->orders = g_ptr_array_new_with_free_func (order_free);
  return row;
}

void
ledger_row_free (ledger_row_t *row)
{
  if (!row)
    return;
  g_ptr_array_free (row->entries, TRUE);
  g_ptr_array_free (row->orders, TRUE);
  g_free (row);
}

static ledger_entry_t *
add_entry (ledger_row_t *row, const ledger_entry_t *entry)
{
  ledger_entry_t *copy = g_new (ledger_entry_t, 1);
  *copy = *entry;
  copy->item = item_copy (&entry->item);
  g_ptr_array_add (row->entries, copy);
  return copy;
}

static ledger_order_t *
add_order (ledger_row_t *row, const ledger_order_t *order)
{
  ledger_order_t *copy = g_new (ledger_order_t, 1);
  *copy = *order;
  copy->id = g_strdup (order->id);
  copy->holder = g_strdup (order->holder);
  copy->item = item_copy (&order->item);
  g_ptr_array_add (row->orders, copy);
  return copy;
}

ledger_row_t *
ledger_row_copy (const ledger_row_t *row)
{
  ledger_row_t *copy = ledger_row_new ();
  copy->version = row->version;
  copy->total_mb = row->total_mb;
  copy->incarnation = row->incarnation;
  copy->fence = row->fence;
  for (guint i = 0; i < row->entries->len; i++)
    add_entry (copy, row->entries->pdata[i]);
  for (guint i = 0; i < row->orders->len; i++)
    add_order (copy, row->orders->pdata[i]);
  return copy;
}

/* JSON text.  */

static int
index_of (const char *const *names, int n_names, const char *name)
{
  for (int i = 0; i < n_names; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

/* Whether a size and a fencing token are in range.  Sizes are added up, and
   the next order gets the next token.  */
static bool
are_in_range (json_int_t mb, json_int_t fence)
{
  return mb >= 0 && mb <= MEMORY_MAX_MB && fence >= 0 && fence <= FENCE_MAX;
}

static bool
read_entry (ledger_row_t *row, json_t *element)
{
  ledger_entry_t entry = { 0 };
  const char *state;
  json_int_t mb;
  json_int_t fence;
  if (json_unpack (element, "{s:s,s:s,s:s,s:I,s:I,s:s}", "model",
                   &entry.item.model, "version", &entry.item.version,
                   "adapter", &entry.item.adapter, "mb", &mb, "fence", &fence,
                   "state", &state)
      != 0)
    return false;
  int at = index_of (states, G_N_ELEMENTS (states), state);
  if (at < 0 || !are_in_range (mb, fence))
    return false;
  entry.mb = mb;
  entry.fence = fence;
  entry.state = (ledger_entry_state_t)at;
  add_entry (row, &entry);
  return true;
}

static bool
read_order (ledger_row_t *row, json_t *element)
{
  ledger_order_t order = { 0 };
  const char *kind;
  const char *state;
  json_int_t mb;
  json_int_t fence;
  json_int_t incarnation;
  int entry_existed;
  if (json_unpack (element, "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:I,s:s,s:b}",
                   "id", &order.id, "order", &kind, "model", &order.item.model,
                   "version", &order.item.version, "adapter",
                   &order.item.adapter, "mb", &mb, "fence", &fence, "holder",
                   &order.holder, "holder_incarnation", &incarnation, "state",
                   &state, "again", &entry_existed)
      != 0)
    return false;
  int at = index_of (kinds, G_N_ELEMENTS (kinds), kind);
  if (at < 0 || !are_in_range (mb, fence))
    return false;
  order.kind = (order_kind_t)at;
  order.mb = mb;
  order.fence = fence;
  order.holder_incarnation = (uint64_t)incarnation;
  order.unanswered = strcmp (state, "late") == 0;
  order.entry_existed = entry_existed;
  add_order (row, &order);
  return true;
}

ledger_row_t *
ledger_row_parse (const char *text)
{
  json_t *object = json_loads (text, 0, NULL);
  json_int_t total;
  json_int_t incarnation;
  json_int_t fence;
  json_t *entries;
  json_t *orders;
  bool valid = object
               && json_unpack (object, "{s:I,s:I,s:I,s:o,s:o}", "total_mb",
                               &total, "incarnation", &incarnation, "fence",
                               &fence, "entries", &entries, "orders", &orders)
                      == 0
               && are_in_range (total, fence);
  ledger_row_t *row = ledger_row_new ();
  if (valid)
    {
      row->total_mb = total;
      row->incarnation = (uint64_t)incarnation;
      row->fence = fence;
      size_t i;
      json_t *element;
      json_array_foreach (entries, i, element) valid
          = valid && read_entry (row, element);
      json_array_foreach (orders, i, element) valid
          = valid && read_order (row, element);
    }
  json_decref (object);
  if (valid)
    return row;
  ledger_row_free (row);
  return NULL;
}

char *
ledger_row_to_json (const ledger_row_t *row)
{
  json_t *entries = json_array ();
  for (guint i = 0; i < row->entries->len; i++)
    {
      const ledger_entry_t *entry = row->entries->pdata[i];
      json_array_append_new (
          entries,
          json_pack ("{s:s,s:s,s:s,s:I,s:I,s:s}", "model", entry->item.model,
                     "version", entry->item.version, "adapter",
                     entry->item.adapter, "mb", (json_int_t)entry->mb, "fence",
                     (json_int_t)entry->fence, "state", states[entry->state]));
    }
  json_t *orders = json_array ();
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      json_array_append_new (
          orders,
          json_pack ("{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:s,s:I,s:s,s:b}", "id",
                     order->id, "order", kinds[order->kind], "model",
                     order->item.model, "version", order->item.version,
                     "adapter", order->item.adapter, "mb",
                     (json_int_t)order->mb, "fence", (json_int_t)order->fence,
                     "holder", order->holder, "holder_incarnation",
                     (json_int_t)order->holder_incarnation, "state",
                     order->unanswered ? "late" : "open", "again",
                     (int)order->entry_existed));
    }
  json_t *object = json_pack (
      "{s:I,s:I,s:I,s:o,s:o}", "total_mb", (json_int_t)row->total_mb,
      "incarnation", (json_int_t)row->incarnation, "fence",
      (json_int_t)row->fence, "entries", entries, "orders", orders);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

/* Look-ups.  */

ledger_entry_t *
ledger_row_find_entry (const ledger_row_t *row, const ledger_item_t *item)
{
  for (guint i = 0; i < row->entries->len; i++)
    {
      ledger_entry_t *entry = row->entries->pdata[i];
      if (ledger_item_equal (&entry->item, item))
        return entry;
    }
  return NULL;
}

ledger_order_t *
ledger_row_find_order (const ledger_row_t *row, const char *id)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      ledger_order_t *order = row->orders->pdata[i];
      if (strcmp (order->id, id) == 0)
        return order;
    }
  return NULL;
}

bool
ledger_row_has_order (const ledger_row_t *row, order_kind_t kind,
                      const ledger_item_t *item)
{
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      if (order->kind == kind && ledger_item_equal (&order->item, item))
        return true;
    }
  return false;
}

bool
ledger_row_has_stable_copy (const ledger_row_t *row, const ledger_item_t *item)
{
  const ledger_entry_t *entry = ledger_row_find_entry (row, item);
  return entry && entry->state == LEDGER_ENTRY_RESIDENT
         && !ledger_row_has_order (row, ORDER_UNLOAD, item);
}

/* Whether the load order at index AT is the first one for its item in the row.
   Several load orders for one item use its memory once.  */
static bool
is_first_load (const ledger_row_t *row, guint at)
{
  const ledger_order_t *order = row->orders->pdata[at];
  for (guint i = 0; i < at; i++)
    {
      const ledger_order_t *other = row->orders->pdata[i];
      if (other->kind == ORDER_LOAD
          && ledger_item_equal (&other->item, &order->item))
        return false;
    }
  return true;
}

int64_t
ledger_row_reserved_mb (const ledger_row_t *row)
{
  int64_t used_mb = 0;
  for (guint i = 0; i < row->entries->len; i++)
    used_mb += ((const ledger_entry_t *)row->entries->pdata[i])->mb;
  for (guint i = 0; i < row->orders->len; i++)
    {
      const ledger_order_t *order = row->orders->pdata[i];
      const ledger_entry_t *entry = ledger_row_find_entry (row, &order->item);
      if (order->kind == ORDER_LOAD
          && (!entry || entry->state == LEDGER_ENTRY_UNLOADING)
          && is_first_load (row, i))
        used_mb += order->mb;
    }
  return used_mb;
}

/* Changes.  */

static void
remove_entry (ledger_row_t *row, ledger_entry_t *entry)
{
  bool is_model = !*entry->item.adapter;
  ledger_item_t item = item_copy (&entry->item);
  g_ptr_array_remove (row->entries, entry);
  /* The adapters are unloaded with their model.  */
  for (guint i = row->entries->len; is_model && i-- > 0;)
    {
      const ledger_entry_t *other = row->entries->pdata[i];
      if (strcmp (other->item.model, item.model) == 0
          && strcmp (other->item.version, item.version) == 0)
        g_ptr_array_remove_index (row->entries, i);
    }
  item_clear (&item);
}

/* Mark ENTRY as loading with a new fence: whether the item is resident isn't
   known, and ledger_recover sends a new order to make it certain.  */
static void
mark_in_doubt (ledger_row_t *row, ledger_entry_t *entry)
{
  entry->state = LEDGER_ENTRY_LOADING;
  entry->fence = ++row->fence;
}

ledger_order_t *
ledger_row_reserve (ledger_row_t *row, const ledger_order_t *order)
{
  ledger_order_t *added = add_order (row, order);
  added->fence = ++row->fence;
  ledger_entry_t *entry = ledger_row_find_entry (row, &order->item);
  added->entry_existed = entry
                         && (order->kind == ORDER_LOAD
                             || entry->state == LEDGER_ENTRY_UNLOADING);
  if (!entry)
    {
      ledger_entry_t fresh = { .item = order->item, .mb = order->mb };
      entry = add_entry (row, &fresh);
    }
  entry->fence = added->fence;
  entry->state = order->kind == ORDER_LOAD ? LEDGER_ENTRY_LOADING
                                           : LEDGER_ENTRY_UNLOADING;
  return added;
}

void
ledger_row_drop_unanswered_order (ledger_row_t *row, const char *id)
{
  ledger_order_t *order = ledger_row_find_order (row, id);
  if (!order)
    return;
  ledger_entry_t *entry = ledger_row_find_entry (row, &order->item);
  if (entry && entry->state == LEDGER_ENTRY_RESIDENT)
    mark_in_doubt (row, entry);
  else if (!entry && order->kind == ORDER_LOAD)
    {
      ledger_entry_t fresh = { .item = order->item, .mb = order->mb };
      mark_in_doubt (row, add_entry (row, &fresh));
    }
  g_ptr_array_remove (row->orders, order);
}

/* The engine has carried out an order for ITEM with FENCE and refuses all
   orders with lower fences from now on: remove the unanswered ones.  */
static void
drop_fenced_orders (ledger_row_t *row, const ledger_item_t *item,
                    int64_t fence)
{
  for (guint i = row->orders->len; i-- > 0;)
    {
      ledger_order_t *order = row->orders->pdata[i];
      if (!order->unanswered || order->fence >= fence)
        continue;
      if (ledger_item_equal (&order->item, item))
        g_ptr_array_remove_index (row->orders, i);
      else
        ledger_row_drop_unanswered_order (row, order->id);
    }
}

/* Mark ORDER as unanswered.  One record represents all unanswered copies of
   the same order.  */
static void
mark_unanswered (ledger_row_t *row, ledger_order_t *order)
{
  order->unanswered = true;
  for (guint i = row->orders->len; i-- > 0;)
    {
      const ledger_order_t *other = row->orders->pdata[i];
      if (other != order && other->unanswered && other->kind == order->kind
          && other->fence < order->fence
          && other->holder_incarnation == order->holder_incarnation
          && strcmp (other->holder, order->holder) == 0
          && ledger_item_equal (&other->item, &order->item))
        g_ptr_array_remove_index (row->orders, i);
    }
}

/* Update the entry of ORDER, which was carried out.  */
static void
finish_done (ledger_row_t *row, const ledger_order_t *order,
             bool checks_fences)
{
  ledger_entry_t *entry = ledger_row_find_entry (row, &order->item);
  if (entry && entry->fence == order->fence && order->kind == ORDER_UNLOAD)
    remove_entry (row, entry);
  else if (entry && entry->fence == order->fence)
    entry->state = LEDGER_ENTRY_RESIDENT;
  else if (!entry && order->kind == ORDER_LOAD)
    {
      ledger_entry_t fresh = { .item = order->item, .mb = order->mb };
      mark_in_doubt (row, add_entry (row, &fresh));
    }
  if (checks_fences)
    drop_fenced_orders (row, &order->item, order->fence);
}

/* Update the entry of an order that was not carried out.  */
static void
finish_not_done (ledger_row_t *row, const ledger_order_t *order,
                 bool entry_stays)
{
  ledger_entry_t *entry = ledger_row_find_entry (row, &order->item);
  if (!entry || entry->fence != order->fence)
    return;
  if (order->kind == ORDER_LOAD && !entry_stays)
    remove_entry (row, entry);
  else
    mark_in_doubt (row, entry);
}

void
ledger_row_record_outcome (ledger_row_t *row, const char *id,
                           order_outcome_t outcome, bool checks_fences)
{
  ledger_order_t *order = ledger_row_find_order (row, id);
  if (!order)
    return;
  switch (outcome)
    {
    case ORDER_UNANSWERED:
      mark_unanswered (row, order);
      return;
    case ORDER_DONE:
      finish_done (row, order, checks_fences);
      break;
    case ORDER_REJECTED:
      finish_not_done (row, order, false);
      break;
    case ORDER_NEVER_SENT:
      finish_not_done (row, order, order->entry_existed);
      break;
    case ORDER_STALE:
      break;
    }
  g_ptr_array_remove (row->orders, order);
}

/* Load reports.  */

static ledger_item_t
model_of (const kwf_resident_t *model)
{
  return (ledger_item_t){ (char *)model->name,
                          (char *)(model->version ? model->version : ""), "" };
}

static void
add_models (ledger_row_t *row, const kwf_report_event_t *report,
            ledger_entry_state_t state, ledger_size_fn_t size, void *data)
{
  for (size_t i = 0; i < report->n_models; i++)
    {
      ledger_item_t item = model_of (&report->models[i]);
      for (size_t k = 0; k <= report->models[i].n_adapters; k++)
        {
          if (k)
            item.adapter = (char *)report->models[i].adapters[k - 1];
          ledger_entry_t fresh = { .item = item,
                                   .mb = size (data, &item),
                                   .fence = row->fence,
                                   .state = state };
          if (!ledger_row_find_entry (row, &item))
            add_entry (row, &fresh);
        }
    }
}

void
ledger_row_init_from_report (ledger_row_t *row,
                             const kwf_report_event_t *report,
                             ledger_size_fn_t size, void *data)
{
  row->total_mb = report->memory_total_mb;
  row->incarnation = report->incarnation;
  add_models (row, report, LEDGER_ENTRY_RESIDENT, size, data);
}

static bool
is_reported (const kwf_report_event_t *report, const ledger_item_t *item)
{
  for (size_t i = 0; i < report->n_models; i++)
    {
      ledger_item_t model = model_of (&report->models[i]);
      if (strcmp (model.model, item->model) == 0
          && strcmp (model.version, item->version) == 0)
        return true;
    }
  return false;
}

/* Unload entries in doubt that don't fit beside the reported ones; an unload
   needs no memory.  */
static void
unload_excess (ledger_row_t *row, const kwf_report_event_t *report)
{
  if (ledger_row_reserved_mb (row) <= row->total_mb)
    return;
  for (guint i = 0; i < row->entries->len; i++)
    {
      ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state == LEDGER_ENTRY_LOADING
          && !is_reported (report, &entry->item))
        entry->state = LEDGER_ENTRY_UNLOADING;
    }
}

void
ledger_row_handle_restart (ledger_row_t *row, const kwf_report_event_t *report,
                           int64_t since_ns, ledger_size_fn_t size, void *data)
{
  row->total_mb = report->memory_total_mb;
  row->incarnation = report->incarnation;
  for (guint i = row->orders->len; i-- > 0;)
    if (i < row->orders->len)
      mark_unanswered (row, row->orders->pdata[i]);
  row->fence++;
  for (guint i = row->entries->len; i-- > 0;)
    {
      ledger_entry_t *entry = row->entries->pdata[i];
      if (entry->state == LEDGER_ENTRY_RESIDENT
          && entry->first_seen_ns < since_ns)
        {
          g_ptr_array_remove_index (row->entries, i);
          continue;
        }
      entry->state = LEDGER_ENTRY_LOADING;
      entry->fence = row->fence;
    }
  add_models (row, report, LEDGER_ENTRY_LOADING, size, data);
  unload_excess (row, report);
}

void
ledger_row_add_unlisted (ledger_row_t *row, const ledger_item_t *item,
                         int64_t mb)
{
  ledger_entry_t fresh
      = { .item = *item, .mb = mb, .state = LEDGER_ENTRY_RESIDENT };
  if (!ledger_row_find_entry (row, item))
    {
      ledger_entry_t *entry = add_entry (row, &fresh);
      entry->fence = ++row->fence;
      if (ledger_row_reserved_mb (row) <= row->total_mb)
        entry->state = LEDGER_ENTRY_LOADING;
    }
}
