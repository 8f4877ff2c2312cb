#include "whole.h"

static bool
is_success (const whole_facts_t *facts)
{
  return facts->status >= 200 && facts->status < 300;
}

/* A success without any mark of its end and without a byte is one that was cut
   after its head.  */
static bool
has_end (const whole_facts_t *facts)
{
  return facts->delimited
         || (facts->may_end_close && !(is_success (facts) && facts->empty));
}

whole_t
whole_check_head (const whole_facts_t *facts)
{
  /* A status below 200 is final only if it changes the protocol.  HTTP has
     none from 600 on.  */
  if (!facts->head_valid || facts->status < 200 || facts->status > 599)
    return WHOLE_BAD_HEAD;
  if (!facts->has_id)
    return WHOLE_FOREIGN;
  if (is_success (facts) && !facts->has_stamp)
    return WHOLE_NO_STAMP;
  return WHOLE_YES;
}

whole_t
whole_check (const whole_facts_t *facts)
{
  if (!facts->head_ended)
    return facts->complete ? WHOLE_HEAD_CUT : WHOLE_BROKEN;
  whole_t head = whole_check_head (facts);
  if (head != WHOLE_YES)
    return head;
  if (!facts->complete)
    return WHOLE_BROKEN;
  if (!has_end (facts))
    return WHOLE_NO_END;
  /* Only the end of the connection marks the end, and it was not regular.  */
  if (!facts->delimited && facts->reset)
    return WHOLE_RESET;
  return facts->may_end ? WHOLE_YES : WHOLE_PART_CUT;
}

const char *
whole_name (whole_t whole)
{
  static const char *const names[N_WHOLE] = {
    [WHOLE_YES] = "whole",         [WHOLE_HEAD_CUT] = "head_cut",
    [WHOLE_BAD_HEAD] = "bad_head", [WHOLE_FOREIGN] = "foreign_id",
    [WHOLE_NO_STAMP] = "no_stamp", [WHOLE_NO_END] = "no_end",
    [WHOLE_PART_CUT] = "part_cut", [WHOLE_BROKEN] = "broken",
    [WHOLE_RESET] = "reset",
  };
  return names[whole];
}

const char *
whole_cause (whole_t whole)
{
  static const char *const causes[N_WHOLE] = {
    [WHOLE_YES] = "the answer is whole",
    [WHOLE_HEAD_CUT] = "the connection ended before the end of the headers",
    [WHOLE_BAD_HEAD] = "the headers are invalid or contradict each other",
    [WHOLE_FOREIGN] = "the answer belongs to another request",
    [WHOLE_NO_STAMP] = "the answer lacks the stamp of a server's success",
    [WHOLE_NO_END] = "the end of the answer is marked by its connection only",
    [WHOLE_PART_CUT] = "the answer ended inside an event",
    [WHOLE_BROKEN] = "the transfer of the answer failed",
    [WHOLE_RESET] = "the connection was reset behind its end",
  };
  return causes[whole];
}
