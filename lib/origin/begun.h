/* begun.h - records of begun streams: those of this instance, which it writes
   to rows begun/INSTANCE/SLOT, and those in the rows of all instances.  */

#ifndef KNAPWEEDFORK_ORIGIN_BEGUN_H
#define KNAPWEEDFORK_ORIGIN_BEGUN_H

#include <glib.h>
#include <knapweedfork/effect.h>
#include <knapweedfork/store.h>

#define BEGUN_PREFIX "begun/"

typedef struct begun begun_t;

begun_t *begun_new (const char *instance);
void begun_free (begun_t *begun);

/* Adds stream KEY of SERVICE, which began at SOFTWARE.  WRITE: its record goes
   into a row.  */
void begun_add (begun_t *begun, const char *service, uint64_t key,
                uint64_t software, bool write, int64_t now_ns);
/* Records of SERVICE go into rows from now on, also those added before.  */
void begun_write_all (begun_t *begun, const char *service, int64_t now_ns);

/* Sets SOFTWARE; false: there is no record of KEY.  */
bool begun_find (const begun_t *begun, uint64_t key, uint64_t *software);

void begun_apply_row (begun_t *begun, const kwf_row_t *row, int64_t now_ns);
/* Drops the records that no take-up can need any more.  */
void begun_expire (begun_t *begun, int64_t now_ns);

/* Appends a write of the records that no row has, unless one is open, and
   returns whether there was one.  OP identifies it.  */
bool begun_write (begun_t *begun, kwf_handle_t op, int64_t timeout_ns,
                  kwf_effects_t *effects);
/* Appends the removal of this instance's rows, if there are any, in the same
   way.  */
bool begun_remove_rows (begun_t *begun, kwf_handle_t op, int64_t timeout_ns,
                        kwf_effects_t *effects);
/* Handles the reply to a write; false: OP is none of them.  */
bool begun_handle_reply (begun_t *begun, kwf_handle_t op,
                         const kwf_store_reply_t *reply);

/* Whether a record waits for its write.  */
bool begun_is_dirty (const begun_t *begun);
size_t begun_size (const begun_t *begun);

#endif
