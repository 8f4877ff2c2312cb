#include "answer.h"

#include <string.h>
#include <strings.h>

json_t *
answer_json (const client_answer_t *answer)
{
  return answer->body ? json_loadb (answer->body, answer->body_size,
                                    JSON_REJECT_DUPLICATES, NULL)
                      : NULL;
}

bool
answer_type_is_events (const char *content_type)
{
  static const char events[] = "text/event-stream";
  /* The zero byte counts as one of these.  */
  static const char ends[] = "; \t";
  return content_type
         && strncasecmp (content_type, events, sizeof events - 1) == 0
         && strchr (ends, content_type[sizeof events - 1]);
}

bool
answer_has_header (const client_answer_t *answer, const char *name)
{
  for (size_t i = 0; i < answer->n_headers; i++)
    if (strcasecmp (answer->headers[i].name, name) == 0)
      return true;
  return false;
}
