/* text.h - checks TOML text before it is parsed, and finds line numbers.

   cpptoml does not limit nesting, and it destroys nested values recursively,
   so a deeply nested text overflows the stack.  It also does not keep the line
   of a value.  These functions search the text itself, without parsing it.  */

#ifndef KNAPWEEDFORK_LIB_TEXT_H
#define KNAPWEEDFORK_LIB_TEXT_H

#include <stdbool.h>
#include <stddef.h>

/* Both lists, if they have this size and are escaped as JSON, fit one message
   of 1 MiB between instances.  */
#define TEXT_MAX_BYTES 409600
#define TEXT_MAX_LINE_BYTES 8192
/* Limit on brackets other than those of table headers and of arrays that are
   the value of a key.  */
#define TEXT_MAX_EXTRA_BRACKETS 16
#define TEXT_MAX_DOTS 256 /* on a line */

/* Check that TEXT is UTF-8 and within the limits.  If it is, return NULL.  If
   not, return what is allowed and set *LINE (0: the whole text).  */
const char *text_check (const char *text, int *line);

/* Return the line of KEY, counted from 1, in the table with index I of those
   with HEADER ("[[HEADER]]", or "[HEADER]" with I 0).  HEADER NULL: before the
   first table.  KEY NULL: the header itself.  If KEY is not found, return the
   header's line; 0 if that is not found either.  */
int text_line (const char *text, const char *header, size_t i,
               const char *key);

/* Return the first line from LINE on that contains ITEM in quotes, or LINE if
   there is none before the next table.  */
int text_line_of_item (const char *text, int line, const char *item);

#endif
