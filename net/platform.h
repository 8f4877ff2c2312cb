/* platform.h - client of the platform's table, objects and membership list,
   over HTTP and JSON (docs/design.md section 10).  */

#ifndef KNAPWEEDFORK_NET_PLATFORM_H
#define KNAPWEEDFORK_NET_PLATFORM_H

#include <knapweedfork/event.h>
#include <knapweedfork/store.h>

#include "client.h"

typedef struct platform platform_t;

/* ADDRESS is "IP:PORT" of the platform; INSTANCE is the id that is sent with
   each call.  */
platform_t *platform_new (client_t *client, const char *address,
                          const char *instance);
void platform_free (platform_t *platform);

typedef void (*platform_txn_fn_t) (void *data, kwf_handle_t op,
                                   const kwf_store_reply_t *reply);

/* Runs TXN; FN is called once, with OP.  A missing, late or malformed answer
   is KWF_STORE_UNKNOWN for a write and KWF_STORE_FAILED for a read, or when
   nothing was sent.  */
void platform_txn (platform_t *platform, kwf_handle_t op, const kwf_txn_t *txn,
                   int64_t timeout_ns, platform_txn_fn_t fn, void *data);

typedef void (*platform_members_fn_t) (void *data,
                                       const kwf_members_event_t *members);
/* Reads the membership list; the event is not valid when that failed.  */
void platform_members (platform_t *platform, int64_t timeout_ns,
                       platform_members_fn_t fn, void *data);

typedef void (*platform_object_fn_t) (void *data, kwf_status_t status,
                                      const void *bytes, size_t size);
/* Read or write the object NAME.  KWF_NOT_FOUND: there is none;
   KWF_UNAVAILABLE, KWF_TIMEOUT or KWF_LIMIT: it was not read, or not written;
   KWF_UNKNOWN: it may have been written.  */
void platform_object_get (platform_t *platform, const char *name,
                          int64_t timeout_ns, platform_object_fn_t fn,
                          void *data);
void platform_object_put (platform_t *platform, const char *name,
                          const void *bytes, size_t size, int64_t timeout_ns,
                          platform_object_fn_t fn, void *data);

#endif
