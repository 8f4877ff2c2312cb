/* answer.h - bodies of answers as JSON.  */

#ifndef KNAPWEEDFORK_NET_ANSWER_H
#define KNAPWEEDFORK_NET_ANSWER_H

#include <jansson.h>

#include "client.h"

/* The body of ANSWER, to be released with json_decref; NULL: there is none,
   or it is no JSON.  */
json_t *answer_json (const client_answer_t *answer);

#endif
