#include "revision.h"

#include <stdlib.h>
#include <string.h>

/* Digits of REVISION_ERA_MAX; zeros in front count.  */
#define ERA_DIGITS 7

int64_t
revision_make (int64_t era, int64_t version)
{
  return version < 0 ? version : era << REVISION_VERSION_BITS | version;
}

int64_t
revision_era (int64_t revision)
{
  return revision < 0 ? 0 : revision >> REVISION_VERSION_BITS;
}

int64_t
revision_version (int64_t revision)
{
  return revision < 0 ? revision : revision & REVISION_VERSION_MAX;
}

/* Returns the number in TEXT; -1: it is none, or out of range.  */
static int64_t
read_era (const char *text)
{
  size_t size = text ? strlen (text) : 0;
  if (!size || size > ERA_DIGITS || strspn (text, "0123456789") != size)
    return -1;
  long era = strtol (text, NULL, 10);
  return era <= REVISION_ERA_MAX ? era : -1;
}

store_era_word_t
store_era_read (store_era_t *state, const char *text)
{
  int64_t era = read_era (text);
  bool first = !state->answered;
  state->answered = true;
  if (era < 0)
    return text || state->known ? STORE_ERA_UNREADABLE : STORE_ERA_SAME;
  if (era < state->era)
    return STORE_ERA_OLDER;
  bool rose = era > state->era && !first;
  state->known = true;
  state->era = era;
  return rose ? STORE_ERA_ROSE : STORE_ERA_SAME;
}
