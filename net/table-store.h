/* table-store.h - store_t on the calls of platform.h; instances read the table
   themselves.  */

#ifndef KNAPWEEDFORK_NET_TABLE_STORE_H
#define KNAPWEEDFORK_NET_TABLE_STORE_H

#include "platform.h"
#include "store.h"

store_t *table_store_new (client_t *client, const char *address,
                          const char *instance, const store_handler_t *handler,
                          void *data);

#endif
