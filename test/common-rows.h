/* common-rows.h - the users' store as a stand-in on a libev loop: tables of
   rows, transactions with conditions, and polls that wait for changes.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_ROWS_H
#define KNAPWEEDFORK_TEST_COMMON_ROWS_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct rows rows_t;

rows_t *rows_start (struct ev_loop *loop);
void rows_stop (rows_t *rows);

/* "IP:PORT".  */
const char *rows_address (const rows_t *rows);

/* Write VALUE, as the operator or a server does.  */
void rows_put (rows_t *rows, const char *table, const char *key,
               const char *value);

/* Answer nothing from now on, or again.  */
void rows_set_silent (rows_t *rows, bool silent);

#endif
