/* store.h - rows and transactions of the platform's table.

   The platform is the external service that keeps the table; every change of
   the table has a revision.  */

#ifndef KNAPWEEDFORK_STORE_H
#define KNAPWEEDFORK_STORE_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  const char *key;
  int64_t version;   /* revision of the row's last change; 0: absent */
  const char *value; /* JSON text; NULL: the row is deleted or absent */
} kwf_row_t;

typedef struct
{
  const char *key;
  int64_t version; /* version that the row must have; 0: it must be absent */
} kwf_condition_t;

typedef struct
{
  const char *key;
  const char *value; /* JSON text; NULL: delete the row */
} kwf_put_t;

/* One transaction.  If all conditions hold, all puts are applied at one
   revision.  In either case the reply has the rows under PREFIXES that changed
   after revision AFTER, including deleted ones.  A transaction without
   conditions and puts is a read.  */
typedef struct
{
  const kwf_condition_t *conditions;
  size_t n_conditions;
  const kwf_put_t *puts;
  size_t n_puts;
  const char *const *prefixes;
  size_t n_prefixes;
  int64_t after;
} kwf_txn_t;

typedef enum
{
  KWF_STORE_COMMITTED, /* applied, or read */
  KWF_STORE_CONFLICT,  /* not applied; the reply's "conflicts" has the rows
                          that failed a condition */
  KWF_STORE_FAILED,    /* certainly not applied */
  KWF_STORE_UNKNOWN    /* no answer: it may have been applied, or may still
                          be */
} kwf_store_outcome_t;

typedef struct
{
  kwf_store_outcome_t outcome;
  int64_t revision; /* valid for COMMITTED and CONFLICT */
  const kwf_row_t *rows;
  size_t n_rows;
  const kwf_row_t *conflicts;
  size_t n_conflicts;
} kwf_store_reply_t;

#endif
