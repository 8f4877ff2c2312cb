/* platform-json.h - JSON of the calls to the platform, validated strictly.  */

#ifndef KNAPWEEDFORK_NET_PLATFORM_JSON_H
#define KNAPWEEDFORK_NET_PLATFORM_JSON_H

#include <glib.h>
#include <jansson.h>

#include <knapweedfork/event.h>
#include <knapweedfork/store.h>

/* What the answer to a transaction must satisfy.  */
typedef struct
{
  char **conditions; /* keys that conflicts may have, NULL at the end */
  char **prefixes;   /* prefixes that rows must have, NULL at the end */
  int64_t after;
} txn_constraints_t;

/* A decoded answer with the memory that it points to.  */
typedef struct
{
  kwf_store_reply_t reply;
  json_t *json;
  GArray *rows;      /* of kwf_row_t */
  GArray *conflicts; /* of kwf_row_t */
  GPtrArray *values; /* of char * */
} txn_answer_t;

typedef struct
{
  kwf_members_event_t event;
  json_t *json;
  GArray *members; /* of kwf_member_t */
} members_answer_t;

void txn_constraints_init (txn_constraints_t *constraints,
                           const kwf_txn_t *txn);
void txn_constraints_clear (txn_constraints_t *constraints);

/* Encodes TXN as the body of its request; release with free.  NULL: a key is
   empty or not UTF-8, or a value is not JSON or is "null", which would delete
   the row.  */
char *txn_encode (const kwf_txn_t *txn);

/* Decodes the answer BODY with HTTP status STATUS.  Returns false when it
   violates CONSTRAINTS or the interface.  ANSWER must be cleared in either
   case.  */
bool txn_answer_read (txn_answer_t *answer,
                      const txn_constraints_t *constraints, int status,
                      const char *body, size_t size);
void txn_answer_clear (txn_answer_t *answer);

/* Decodes a membership list; ANSWER must be cleared in either case.  */
bool members_answer_read (members_answer_t *answer, const char *body,
                          size_t size);
void members_answer_clear (members_answer_t *answer);

#endif
