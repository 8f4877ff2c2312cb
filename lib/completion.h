/* completion.h - the fields of a completion request, read from its JSON
   body.  */

#ifndef KNAPWEEDFORK_COMPLETION_H
#define KNAPWEEDFORK_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/status.h>

typedef struct
{
  char *model;   /* model without the adapter */
  char *adapter; /* NULL when none; "MODEL:ADAPTER" in the field "model" */
  bool stream;
  int64_t prompt_tokens; /* estimate: one token for 4 bytes of text */
  int64_t max_tokens;    /* as requested, or the default of 256 */
  uint64_t fingerprint;
  uint64_t prefix; /* hash of model, adapter and the first 256 bytes of the
                      prompt */
} completion_t;

/* Read BODY.  CHAT: it was sent to chat/completions, else to completions.  On
   failure fill ERROR and return KWF_INVALID.  */
kwf_status_t completion_parse (const char *body, size_t size, bool chat,
                               completion_t *completion, kwf_error_t *error);
void completion_clear (completion_t *completion);

/* Return BODY as it is sent to the backend server: model and adapter in
   separate fields, RESUME_FROM when above 0, nothing else changed.  Free with
   free; NULL: out of memory.  */
char *completion_backend_body (const char *body, size_t size,
                               const completion_t *completion,
                               int64_t resume_from, size_t *out_size);

#endif
