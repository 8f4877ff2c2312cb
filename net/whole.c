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
