/* common-rows.h - the users' store as a stand-in on a libev loop: tables of
   rows, transactions with conditions, and polls that wait for changes.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_FAKE_STORE_H
#define KNAPWEEDFORK_TEST_COMMON_FAKE_STORE_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct rows fake_store_t;

fake_store_t *fake_store_start (struct ev_loop *loop);
void fake_store_stop (fake_store_t *rows);

/* "IP:PORT".  */
const char *fake_store_address (const fake_store_t *rows);

/* Write VALUE, as the operator or a server does.  */
void rows_put (fake_store_t *rows, const char *table, const char *key,
               const char *value);

/* Answer nothing from now on, or again.  */
void fake_store_set_silent (fake_store_t *rows, bool silent);

#endif
