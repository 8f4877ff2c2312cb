/* store.h - interface to what the platform stores for all instances: the
   table's rows and, with some protocols, the membership list and the
   configuration.

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
  /* The answer to txn().  */
  void (*reply) (void *data, kwf_handle_t op, const kwf_store_reply_t *reply);
  void (*members) (void *data, const kwf_members_event_t *members);
  void (*config) (void *data, const kwf_config_event_t *config);
  /* All data centres that are evacuated now.  */
  void (*evacuations) (void *data, const kwf_evacuations_event_t *event);
  /* Changed rows of this product's own table, if the store follows that table
     by itself.  */
  void (*rows) (void *data, const kwf_rows_event_t *rows);
  /* How current a table is, after its rows were delivered.  */
  void (*dated) (void *data, const kwf_table_date_event_t *date);
  /* Age that what this instance knows of a table may reach before it polls the
     platform itself; 0: it polls for other instances.  */
  int64_t (*max_age_ns) (void *data);
  /* Send the CHANGES of a table to other instances.  OWN: this instance read
     them from the platform; false: it passes on what another instance
     sent.  */
  void (*publish) (void *data, const kwf_feed_t *changes, bool own);
  /* Send CHANGES to instance PEER alone.  */
  void (*send_feed) (void *data, const char *peer, const kwf_feed_t *changes);
  /* The fleet secret that the platform stores.  */
  void (*secret) (void *data, const char *secret);
} store_handler_t;

typedef struct
{
  /* Run the transaction TXN.  A missing answer after TIMEOUT_NS is
     KWF_STORE_UNKNOWN for a write and KWF_STORE_FAILED for a read.  */
  void (*txn) (store_t *store, kwf_handle_t op, const kwf_txn_t *txn,
               int64_t timeout_ns);
  /* Read the membership list; NULL: the store reports it by itself.  */
  void (*read_members) (store_t *store);
  /* Instance FROM sent the CHANGES of a table.  NULL: instances do not send
     any.  */
  void (*receive_feed) (store_t *store, const char *from,
                        const kwf_feed_t *changes);
  /* A link to instance PEER came up: the choice of the instance that polls for
     others may have changed.  KNOWN: the row of that instance is known; false:
     it should be read soon.  May be NULL.  */
  void (*on_link_up) (store_t *store, const char *peer, bool known);
  /* Read at once what is new in the tables whose date is told.  NULL: no dates
     are told.  */
  void (*refresh) (store_t *store);
  /* Append metrics of the calls to the platform; may be NULL.  */
  void (*write_metrics) (const store_t *store, GString *out);
  void (*free) (store_t *store);
} store_ops_t;

struct store
{
  const store_ops_t *ops;
};

#endif
