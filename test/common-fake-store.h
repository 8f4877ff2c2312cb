/* common-fake-store.h - a fake of the users' platform store on a libev loop:
   tables of rows, transactions with conditions, and polls that wait for
   changes.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_FAKE_STORE_H
#define KNAPWEEDFORK_TEST_COMMON_FAKE_STORE_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct fake_store fake_store_t;

fake_store_t *fake_store_start (struct ev_loop *loop);
void fake_store_stop (fake_store_t *store);

/* "IP:PORT".  */
const char *fake_store_address (const fake_store_t *store);
/* A second address, which can be cut off.  */
const char *fake_store_far_address (const fake_store_t *store);
/* CUT: no request at the second address is answered from now on.  */
void fake_store_set_cut (fake_store_t *store, bool cut);

/* Writes VALUE, as the operator or a server does.  */
void fake_store_put (fake_store_t *store, const char *table, const char *key,
                     const char *value);

/* Writes the SIZE bytes of VALUE.  */
void fake_store_put_bytes (fake_store_t *store, const char *table,
                           const char *key, const void *value, size_t size);

/* Removes the row KEY of TABLE.  */
void fake_store_remove (fake_store_t *store, const char *table,
                        const char *key);

/* Writes a row whose JSON has FIELDS, a JSON object, instead of its own.  */
void fake_store_put_odd (fake_store_t *store, const char *table,
                         const char *key, const char *fields);

/* Keeps a copy of all rows and the version.  */
void fake_store_copy (fake_store_t *store);
/* Comes back from that copy: what was written since is gone, its versions are
   given out again, and the era that all answers name rises.  A poll from a
   version that is not there gets 410.  */
void fake_store_restore (fake_store_t *store);
/* Names an era in its answers from now on.  */
void fake_store_set_era (fake_store_t *store, int era);

/* The status of all answers from now on; 0: the usual ones, NONE_STATUS:
   000.  */
#define NONE_STATUS (-1)
void fake_store_set_status (fake_store_t *store, int status);

/* SILENT: no request is answered from now on.  False: requests are answered
   again.  */
void fake_store_set_silent (fake_store_t *store, bool silent);

#endif
