/* revision.h - versions of a store that may come back from an older copy.

   Such a store loses its latest changes and gives their versions out again;
   its era rises then.  A revision has the era in its upper bits and the
   version in the lower ones, so a later state has the higher revision and
   revisions compare as numbers.  For a store without eras the revision is the
   version.  */

#ifndef KNAPWEEDFORK_REVISION_H
#define KNAPWEEDFORK_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* Up to 2^13 eras a revision is also exact as a JSON number (2^53).  */
#define REVISION_VERSION_BITS 40
#define REVISION_VERSION_MAX ((INT64_C (1) << REVISION_VERSION_BITS) - 1)
#define REVISION_ERA_MAX ((INT64_C (1) << 22) - 1)

/* Returns the revision of VERSION in ERA.  A negative VERSION, which stands
   for none, is returned as it is.  */
int64_t revision_make (int64_t era, int64_t version);
/* Return the parts of REVISION; a negative one has era 0.  */
int64_t revision_era (int64_t revision);
int64_t revision_version (int64_t revision);

/* The era as the answers of a store name it.  */
typedef struct
{
  int64_t era;
  bool known;    /* an answer has named it */
  bool answered; /* an answer has arrived */
} store_era_t;

typedef enum
{
  STORE_ERA_SAME,
  STORE_ERA_ROSE,
  STORE_ERA_OLDER,     /* the answer is of an earlier era; it must not be
                          used */
  STORE_ERA_UNREADABLE /* no era, though it was known, or none that can be
                          read: the last one stands */
} store_era_word_t;

/* Takes over what an answer says of the era; TEXT NULL: nothing.  */
store_era_word_t store_era_read (store_era_t *state, const char *text);

#endif
