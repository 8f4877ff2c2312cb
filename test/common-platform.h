/* common-platform.h - synchronous calls to the platform and their results, for
   tests.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_PLATFORM_H
#define KNAPWEEDFORK_TEST_COMMON_PLATFORM_H

#include <glib.h>

#include "net/platform.h"

typedef struct
{
  struct ev_loop *loop;
  client_t *client;
  platform_t *platform;
  int ended;       /* number of answers; the other fields are of the last
                      ones */
  kwf_handle_t op; /* of the transaction */
  kwf_store_outcome_t outcome;
  int64_t revision;
  GString *rows;      /* "key=value;", "-" for a deleted row */
  GString *conflicts; /* as rows */
  GString *versions;  /* "key=version;" of rows and conflicts */
  bool valid;
  GString *members; /* "id kind name address data-centre leaving;" */
  kwf_status_t object_status;
  GString *object_bytes; /* content of the last object that was read */
} platform_calls_t;

/* Creates a client for calls of instance "i1" to the platform at ADDRESS, and
   the event loop and the buffers for results.  platform_calls_clear frees
   them.  */
void platform_calls_init (platform_calls_t *calls, const char *address);
void platform_calls_clear (platform_calls_t *calls);

/* Make a call, run the loop until it has ended, and return its outcome.
   TIMEOUT_NS ends a call without an answer as failed; after 10 s the test
   itself fails.  */
kwf_store_outcome_t platform_calls_txn (platform_calls_t *calls,
                                        const kwf_txn_t *txn,
                                        int64_t timeout_ns);
bool platform_calls_members (platform_calls_t *calls, int64_t timeout_ns);
kwf_status_t platform_calls_object_get (platform_calls_t *calls,
                                        const char *name, int64_t timeout_ns);
kwf_status_t platform_calls_object_put (platform_calls_t *calls,
                                        const char *name, const void *bytes,
                                        size_t size, int64_t timeout_ns);

/* Handler of transactions, for those whose answer is not awaited.  */
void platform_calls_on_reply (void *data, kwf_handle_t op,
                              const kwf_store_reply_t *reply);

#endif
