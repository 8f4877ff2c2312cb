/* claim-row.h - JSON of the rows claim/ORGANISATION/DIGEST.  */

#ifndef KNAPWEEDFORK_CLAIM_ROW_H
#define KNAPWEEDFORK_CLAIM_ROW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CLAIM_ID_SIZE 33 /* hex of 16 bytes, with the final zero byte */
#define CLAIM_BODY_MAX 65536

typedef struct
{
  const char *id;
  const char *instance;
  uint64_t incarnation;
  const char *state; /* "claimed", "done", "unknown", "abandoned" */
  int64_t at_ms;     /* wall-clock time of the write */
  int status;        /* HTTP status; this and the rest: "done" only */
  const char *content_type;
  const char *body;
  size_t body_size;
  void *json; /* owns the strings after claim_row_read */
} claim_row_t;

/* Return the JSON text of ROW; free with g_free.  A body above CLAIM_BODY_MAX
   is left out and the row says so.  */
char *claim_row_write (const claim_row_t *row);

/* Read TEXT; return false when it is malformed.  The body is allocated with
   g_malloc; if it was too large to store, it is an error object that says so.
   Release with claim_row_clear.  */
bool claim_row_read (const char *text, claim_row_t *row);
void claim_row_clear (claim_row_t *row);

#endif
