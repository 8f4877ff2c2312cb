#include "answer.h"

json_t *
answer_json (const client_answer_t *answer)
{
  return answer->body ? json_loadb (answer->body, answer->body_size,
                                    JSON_REJECT_DUPLICATES, NULL)
                      : NULL;
}
