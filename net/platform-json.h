/* platform-json.h - the platform's JSON, checked strictly.  */

#ifndef KNAPWEEDFORK_NET_PLATFORM_JSON_H
#define KNAPWEEDFORK_NET_PLATFORM_JSON_H

#include <glib.h>
#include <jansson.h>

#include <knapweedfork/event.h>
#include <knapweedfork/store.h>

/* What an answer to a transaction is checked against.  */
typedef struct
{
  char **conditions; /* keys, NULL at the end */
  char **prefixes;   /* NULL at the end */
  int64_t after;
} txn_constraints_t;

/* An answer with the memory that it points to.  */
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

void txn_constraints_init (txn_constraints_t *terms, const kwf_txn_t *txn);
void txn_constraints_clear (txn_constraints_t *terms);

/* Body of the request for TXN, to be freed; NULL when a key is no UTF-8 or
   empty, or a value no JSON text or "null", which would delete the row.  */
char *txn_encode (const kwf_txn_t *txn);

/* Read the answer BODY with HTTP status STATUS.  Return false when it
   doesn't fit TERMS or the contract; ANSWER must be cleared in any case.  */
bool txn_answer_read (txn_answer_t *answer, const txn_constraints_t *terms,
                      int status, const char *body, size_t size);
void txn_answer_clear (txn_answer_t *answer);

/* Read a membership list; likewise.  */
bool members_answer_read (members_answer_t *answer, const char *body,
                          size_t size);
void members_answer_clear (members_answer_t *answer);

#endif
