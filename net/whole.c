#include "whole.h"

whole_t
whole_check (const whole_facts_t *facts)
{
  bool success = facts->status >= 200 && facts->status < 300;
  if (!facts->head_ended)
    return WHOLE_HEAD_CUT;
  if (!facts->has_id)
    return WHOLE_FOREIGN;
  if (!facts->delimited && !facts->may_end_close)
    return WHOLE_NO_END;
  if (success && !facts->has_stamp)
    return WHOLE_NO_STAMP;
  if (!facts->between_parts)
    return WHOLE_PART_CUT;
  return WHOLE_YES;
}

const char *
whole_name (whole_t whole)
{
  static const char *const names[N_WHOLE] = {
    [WHOLE_YES] = "whole",         [WHOLE_HEAD_CUT] = "head_cut",
    [WHOLE_NO_END] = "no_end",     [WHOLE_FOREIGN] = "foreign_id",
    [WHOLE_NO_STAMP] = "no_stamp", [WHOLE_PART_CUT] = "part_cut",
  };
  return names[whole];
}

const char *
whole_cause (whole_t whole)
{
  static const char *const causes[N_WHOLE] = {
    [WHOLE_YES] = "the answer is whole",
    [WHOLE_HEAD_CUT] = "the connection ended before the end of the headers",
    [WHOLE_NO_END] = "the answer ended with its connection and has no length",
    [WHOLE_FOREIGN] = "the answer belongs to another request",
    [WHOLE_NO_STAMP] = "the answer lacks the stamp of a server's success",
    [WHOLE_PART_CUT] = "the answer ended inside an event",
  };
  return causes[whole];
}
