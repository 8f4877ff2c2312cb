/* answer.h - the JSON body of an HTTP answer.  */

#ifndef KNAPWEEDFORK_NET_ANSWER_H
#define KNAPWEEDFORK_NET_ANSWER_H

#include <jansson.h>

#include "client.h"

/* Parses the body of ANSWER.  Returns NULL when there is no body or it is not
   JSON or has an object with one name twice; release the result with
   json_decref.  */
json_t *answer_json (const client_answer_t *answer);

#endif
