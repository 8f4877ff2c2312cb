/* common-http.h - blocking HTTP calls for tests, on libcurl.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_HTTP_H
#define KNAPWEEDFORK_TEST_COMMON_HTTP_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct
{
  const char *error; /* libcurl's text, "No error" on success */
  bool complete;     /* the whole answer arrived */
  bool timed_out;    /* the time-out passed before the whole answer arrived */
  int status;        /* 0: no status line was received */
  char *body;        /* the bytes received, followed by a zero byte */
  size_t size;
  char *headers; /* as received, including the status line */
} http_answer_t;

/* Sends METHOD to http://ADDRESS/TARGET and waits for the answer.  When
   ADDRESS begins with "https://", TLS is used and the certificate is not
   checked.  HEADERS is an array of "Name: value" that ends with NULL, or NULL.
   BODY may be NULL.  The answer must be released with http_free.  */
http_answer_t http_call (const char *method, const char *address,
                         const char *target, const char *const *headers,
                         const char *body, long timeout_ms);
void http_free (http_answer_t *answer);

/* Send GET or POST and return the JSON body of the answer; NULL when the
   status is not STATUS or the body is not JSON.  The result must be released
   with json_decref.  */
json_t *http_get_json (const char *address, const char *target, int status);
json_t *http_post_json (const char *address, const char *target,
                        const char *body, int status);

/* Sends POST and returns the status; 0: no complete answer.  */
int http_post (const char *address, const char *target, const char *body);

#endif
