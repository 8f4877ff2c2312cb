/* call.h - what a completion request asks for, read from its JSON body.  */

#ifndef KNAPWEEDFORK_CALL_H
#define KNAPWEEDFORK_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/status.h>

typedef struct
{
  char *model;   /* model without the adapter */
  char *adapter; /* NULL when none; "MODEL:ADAPTER" in the request's model */
  bool stream;
  int64_t prompt_tokens; /* estimate: a token for 4 bytes of text */
  int64_t max_tokens;    /* asked for, or the default of 256 */
  uint64_t fingerprint;
  uint64_t prefix; /* of model and the first 256 bytes of the prompt */
} completion_t;

/* Read BODY.  CHAT tells chat/completions from completions.  On failure
   fill ERROR and return KWF_INVALID.  */
kwf_status_t completion_parse (const char *body, size_t size, bool chat,
                               completion_t *call, kwf_error_t *error);
void completion_clear (completion_t *call);

/* Return BODY for the backend server: model and adapter in separate fields,
   RESUME_FROM when above 0, nothing else changed; free with free.  */
char *completion_backend_body (const char *body, size_t size,
                               const completion_t *call, int64_t resume_from,
                               size_t *out_size);

#endif
