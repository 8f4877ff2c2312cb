#include "json-tree.h"

#include <stdbool.h>

/* Measured with jansson 2.14 on x86-64 as growth of resident memory by bodies
   of 4 MiB: 229 bytes for each empty object, 136 for each empty list and 41
   for each number.  A member needs its hash entry as well.  */
#define OBJECT_BYTES 240
#define LIST_BYTES 144
#define MEMBER_BYTES 96
#define VALUE_BYTES 48

size_t
json_tree_bytes (const char *text, size_t size)
{
  static const size_t costs[256] = { ['{'] = OBJECT_BYTES,
                                     ['['] = LIST_BYTES,
                                     [':'] = MEMBER_BYTES,
                                     [','] = VALUE_BYTES };
  size_t bytes = size;
  bool in_string = false;
  for (size_t i = 0; i < size; i++)
    if (text[i] == '"')
      in_string = !in_string;
    else if (in_string && text[i] == '\\')
      i++;
    else if (!in_string)
      bytes += costs[(unsigned char)text[i]];
  return bytes;
}
