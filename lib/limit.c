#include "limit.h"

#include <glib.h>

static limit_change_t
handle_named (limit_t *limit, const kwf_notice_event_t *answer)
{
  double rate_per_s = MIN (answer->limit_per_s, LIMIT_MAX_PER_S);
  limit->named_in[answer->kind] = true;
  if (limit->named && limit->rate_per_s == rate_per_s)
    return LIMIT_UNCHANGED;
  limit->named = true;
  limit->rate_per_s = rate_per_s;
  return LIMIT_SET;
}

limit_change_t
limit_handle_answer (limit_t *limit, const kwf_notice_event_t *answer)
{
  if (answer->limit == KWF_LIMIT_NAMED)
    return handle_named (limit, answer);
  /* Answers of a kind that has never named the limit say nothing of it.  */
  if (answer->limit == KWF_LIMIT_UNREADABLE || !limit->named
      || !answer->success || !limit->named_in[answer->kind])
    return LIMIT_UNCHANGED;
  limit->named = false;
  return LIMIT_ENDED;
}
