/* store.h - what the platform keeps for the fleet: table rows, and, where it
   tells of them unasked, the membership list and the configuration.

   Callbacks are made from the loop, never from within a call.  */

#ifndef KNAPWEEDFORK_NET_STORE_H
#define KNAPWEEDFORK_NET_STORE_H

#include <glib.h>

#include <knapweedfork/event.h>
#include <knapweedfork/message.h>
#include <knapweedfork/store.h>

typedef struct store store_t;

typedef struct
{
  /* Answer to txn().  */
  void (*reply) (void *data, kwf_handle_t op, const kwf_store_reply_t *reply);
  void (*members) (void *data, const kwf_members_event_t *members);
  void (*config) (void *data, const kwf_config_event_t *config);
  /* Rows of the own table, where the store tells of them unasked.  */
  void (*rows) (void *data, const kwf_rows_event_t *rows);
  /* How old what is known may grow before this instance asks the platform
     itself; 0: it reads for other instances.  */
  int64_t (*max_age_ns) (void *data);
  /* Tell other instances what a table says.  OWN: the platform told it.  */
  void (*publish) (void *data, const kwf_feed_t *news, bool own);
  /* The fleet secret that the platform keeps.  */
  void (*secret) (void *data, const char *secret);
} store_handler_t;

typedef struct
{
  /* Run TXN.  An answer after TIMEOUT_NS counts as UNKNOWN for a write and
     FAILED for a read.  */
  void (*txn) (store_t *store, kwf_handle_t op, const kwf_txn_t *txn,
               int64_t timeout_ns);
  /* Read the membership list; NULL: it comes unasked.  */
  void (*read_members) (store_t *store);
  /* Instance FROM told what a table says; NULL: none does.  */
  void (*receive_feed) (store_t *store, const char *from,
                        const kwf_feed_t *news);
  /* A link is up, so that it may be for this instance now to read for others.
     KNOWN: there is a row of the other instance, else look for it soon.  May
     be NULL.  */
  void (*on_link_up) (store_t *store, bool known);
  /* Append metrics of the calls made; may be NULL.  */
  void (*write_metrics) (const store_t *store, GString *out);
  void (*free) (store_t *store);
} store_ops_t;

struct store
{
  const store_ops_t *ops;
};

#endif
