/* answer.h - what the type and the body of an HTTP answer are.  */

#ifndef KNAPWEEDFORK_NET_ANSWER_H
#define KNAPWEEDFORK_NET_ANSWER_H

#include <jansson.h>
#include <stdbool.h>

#include "client.h"

/* Parses the body of ANSWER.  Returns NULL when there is no body or it is not
   JSON or has an object with one name twice; release the result with
   json_decref.  */
json_t *answer_json (const client_answer_t *answer);

/* Whether CONTENT_TYPE is that of a stream of events, in any case and with any
   parameters; NULL: no type.  */
bool answer_type_is_events (const char *content_type);

/* Whether ANSWER has the header NAME, in any case.  */
bool answer_has_header (const client_answer_t *answer, const char *name);

#endif
