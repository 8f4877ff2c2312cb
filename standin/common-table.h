/* common-table.h - the platform stand-in's table in memory.

   Rows are kept in groups by the first part of their key, up to and with the
   '/'.  Each group lists its rows in the order of their last change, so that
   a read of what changed after a revision touches only those rows.  All rows
   are also sorted by key, for reads of longer prefixes.  Deleted rows stay,
   without a value, so that readers learn of the deletion.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_TABLE_H
#define KNAPWEEDFORK_STANDIN_COMMON_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct table table_t;

typedef enum
{
  TXN_COMMITTED,
  TXN_CONFLICT,
  TXN_MALFORMED
} txn_outcome_t;

table_t *table_new (void);
void table_free (table_t *table);
int64_t table_revision (const table_t *table);

/* Rows, without the deleted ones.  */
size_t table_size (const table_t *table);

/* Rows examined by all reads since the start.  */
uint64_t table_rows_examined (const table_t *table);

/* Whether TRANSACTION changes rows.  */
bool table_is_write (const json_t *transaction);

/* Run TRANSACTION as docs/design.md section 10 defines it.  *RESULT becomes
   the answer, unless MALFORMED.  */
txn_outcome_t table_transact (table_t *table, const json_t *transaction,
                              json_t **result);

/* The row of KEY, or NULL when it is absent or deleted.  */
json_t *table_get (const table_t *table, const char *key);

/* Append to ROWS the rows under PREFIX with a version above AFTER, oldest
   change first.  */
void table_read (table_t *table, const char *prefix, int64_t after,
                 json_t *rows);

#endif
