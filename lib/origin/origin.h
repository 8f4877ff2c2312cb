/* origin.h - the software version of the backend servers that began a stream.

   Backend servers of several versions may run one service, and a stream may go
   on only at the version that began it.  The instance that forwards its first
   event knows that version.  A caller whose answer broke off may take the
   stream up at any other instance, also after all have been killed.  So while
   more than one version may have run a service, each instance writes what its
   streams began at to the table, in batches: rows begun/INSTANCE/SLOT, which
   all instances read.  Rows origin/SERVICE have the versions that may have run
   the service within ORIGIN_KEEP_NS.  While there is only one, no stream needs
   a record.

   A record that is not there yet, or was lost with its instance, leaves the
   version unknown, and the stream must not go on.  That there is only one
   version has to be true of the time at which the stream began, so it needs
   tables that are as current as that (lib/currency.h).  */

#ifndef KNAPWEEDFORK_ORIGIN_H
#define KNAPWEEDFORK_ORIGIN_H

#include <glib.h>

#include "../session.h"

/* A stream is not taken up later than this after it began.  */
#define ORIGIN_KEEP_NS (60 * KWF_NS_PER_S)

typedef struct origins origins_t;

origins_t *origins_new (const kwf_core_options_t *options);
void origins_free (origins_t *origins);

/* Identifies a stream: of SERVICE, for ORGANISATION, by ID of the request that
   got its first event.  Never 0.  */
uint64_t origin_key (const char *service, const char *organisation,
                     const char *id);

/* Whether origins_may_begin may be false for some server.  */
bool origins_are_unwritten (const origins_t *origins);

/* Whether a server of SERVICE with version SOFTWARE should get new streams:
   the table has the version, so that a process that starts will know it.  True
   also if it was not to be written for some time.  */
bool origins_may_begin (const origins_t *origins, const char *service,
                        uint64_t software);

/* The first event of stream KEY, or of what was taken up, goes to its caller;
   a server of SERVICE with version SOFTWARE made it.  */
void origins_begin (origins_t *origins, const char *service, uint64_t key,
                    uint64_t software);

typedef enum
{
  ORIGIN_RECORDED, /* a record tells the version */
  ORIGIN_ONLY,     /* it is the only one, as far as the tables are known; 0:
                      the servers name none */
  ORIGIN_UNKNOWN   /* several may have begun the stream */
} origin_word_t;

/* Sets SOFTWARE to the version that began stream KEY of SERVICE (0: the caller
   did not say which stream), unless it is unknown.  */
origin_word_t origins_find (const origins_t *origins, const char *service,
                            uint64_t key, uint64_t *software);

/* Time after which a record that is not known will not arrive.  */
int64_t origins_delay_ns (const origins_t *origins);

/* Handles the list of servers, changed rows, replies of the table and
   ticks.  */
void origins_step (origins_t *origins, const session_t *session,
                   const kwf_event_t *event, const session_changes_t *changes,
                   kwf_effects_t *effects);
int64_t origins_next_tick_ns (const origins_t *origins);

/* Appends metrics in the Prometheus text format.  */
void origins_write_metrics (const origins_t *origins, GString *out);

#endif
