#include "table-store.h"

#include <glib.h>
#include <knapweedfork/clock.h>

/* limit of a read of the membership list */
#define MEMBERS_TIMEOUT_NS (2 * KWF_NS_PER_S)

typedef struct
{
  store_t base;
  platform_t *platform;
  const store_handler_t *handler;
  void *data;
} table_store_t;

static void
run_txn (store_t *base, kwf_handle_t op, const kwf_txn_t *txn,
         int64_t timeout_ns)
{
  const table_store_t *store = (table_store_t *)base;
  platform_txn (store->platform, op, txn, timeout_ns, store->handler->reply,
                store->data);
}

static void
read_members (store_t *base)
{
  const table_store_t *store = (table_store_t *)base;
  platform_members (store->platform, MEMBERS_TIMEOUT_NS,
                    store->handler->members, store->data);
}

static void
free_store (store_t *base)
{
  table_store_t *store = (table_store_t *)base;
  platform_free (store->platform);
  g_free (store);
}

store_t *
table_store_new (client_t *client, const char *address, const char *instance,
                 const store_handler_t *handler, void *data)
{
  static const store_ops_t ops
      = { .txn = run_txn, .read_members = read_members, .free = free_store };
  table_store_t *store = g_new0 (table_store_t, 1);
  store->base.ops = &ops;
  store->platform = platform_new (client, address, instance);
  store->handler = handler;
  store->data = data;
  return &store->base;
}
