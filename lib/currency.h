/* currency.h - whether this instance knows of the platform's tables what any
   instance knew at some time.

   That a table has no entry is true of the time at which the table was read.
   A decision that rests on it, such as "there is only one version", needs a
   later reading than whatever it is about.  There are two ways to show that:

   - an answer of the store, read here or passed on by another instance, of a
     later time;
   - the word of the other instances: each tells up to which revisions it knows
     the tables.  If no other one knows more, no other one can have acted on
     more.  That holds while the store answers nobody, too.

   Instances that are cut off may know more and be unable to tell.  So without
   an answer of the store more than half of the hubs have to tell: of two
   groups that do not reach each other at most one goes on.  */

#ifndef KNAPWEEDFORK_CURRENCY_H
#define KNAPWEEDFORK_CURRENCY_H

#include <glib.h>

#include "session.h"

typedef struct currency currency_t;

typedef enum
{
  CURRENCY_SHOWN,  /* all that any instance knew is known here */
  CURRENCY_OPEN,   /* not shown; an answer may still show it */
  CURRENCY_UNKNOWN /* neither the store nor enough instances can be asked */
} currency_word_t;

/* The hubs of the fleet, without those that have ended.  */
typedef struct
{
  size_t n;          /* of them, this one included if it is a hub */
  size_t n_linked;   /* that have a link, this one included */
  size_t n_answered; /* that told their revisions when asked at the time in
                        question or later, this one included */
  bool ahead;        /* some instance has told that it knows more */
} currency_hubs_t;

currency_t *currency_new (const kwf_core_options_t *options);
void currency_free (currency_t *currency);

/* Handles dates of tables, and questions and answers of instances.  */
void currency_step (currency_t *currency, const session_t *session,
                    const kwf_event_t *event, kwf_effects_t *effects);

/* Whether what is known here includes all that any instance knew at SINCE_NS.
 */
currency_word_t currency_check (const currency_t *currency,
                                const session_t *session, int64_t since_ns);
/* The decision alone.  */
currency_word_t currency_judge (const currency_t *currency,
                                const currency_hubs_t *hubs, int64_t since_ns);

/* Asks for what currency_check lacks, unless that was just done.  */
void currency_ask (currency_t *currency, const session_t *session,
                   kwf_effects_t *effects);

/* Whether TABLE was the newest at SINCE_NS or later, by an answer of the
   store.  */
bool currency_is_dated (const currency_t *currency, kwf_table_t table,
                        int64_t since_ns);
/* Time since TABLE is known to have been the newest; INT64_MAX: unknown.  */
int64_t currency_age_ns (const currency_t *currency, kwf_table_t table);

/* Appends metrics in the Prometheus text format.  */
void currency_write_metrics (const currency_t *currency, GString *out);

#endif
