/* origin-cuts.h - cuts in the simulated fleet of origin-fleet.h: instances
   that do not reach the store, the other instances, or either, and a store
   that answers nobody.  Each instance has the real lib/currency.h; what the
   others tell when they are asked arrives at once.  */

#ifndef KNAPWEEDFORK_TEST_ORIGIN_CUTS_H
#define KNAPWEEDFORK_TEST_ORIGIN_CUTS_H

#include "lib/currency.h"

#define CUTS_INSTANCES 3

typedef struct origin_cuts origin_cuts_t;

origin_cuts_t *cuts_new (const kwf_core_options_t *options,
                         const session_t *session, uint64_t seed);
void cuts_free (origin_cuts_t *cuts);

/* Begins and ends cuts.  */
void cuts_run (origin_cuts_t *cuts);

/* Whether instance I reaches the store; whether it learns what that says,
   through another instance, too.  */
bool cuts_reaches_store (const origin_cuts_t *cuts, int i);
bool cuts_reaches (const origin_cuts_t *cuts, int i);

/* A process of instance I begins or ends.  Some end with their machine, so
   that its address does not refuse connections.  */
void cuts_begin_process (origin_cuts_t *cuts, int i);
void cuts_end_process (origin_cuts_t *cuts, int i);

/* Instance I has the list of the servers of VERSION.  */
void cuts_note_list (origin_cuts_t *cuts, int i, int64_t version);

/* Whether instance I is to read the tables now: it was asked to, or has not
   for some time.  Then it reads them, or fails to.  */
bool cuts_reads (origin_cuts_t *cuts, int i);
void cuts_date (origin_cuts_t *cuts, int i);
void cuts_fail (origin_cuts_t *cuts, int i);

/* Whether instance I knows what any other did at SINCE_NS; if that is open, it
   reads the tables soon.  */
currency_word_t cuts_judge (origin_cuts_t *cuts, int i, int64_t since_ns);

#endif
