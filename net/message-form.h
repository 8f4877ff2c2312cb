/* message-form.h - fields that builds of different age read differently.

   Builds before the store's eras (lib/revision.h) read a version in each field
   that now holds a revision, and send one.  The two are the same number while
   the era is 0.  Each build that knows the message FORM sends it first on each
   link; a peer that does not is taken for one that reads versions, until it
   sends a revision.  See docs/design/builds.md.  */

#ifndef KNAPWEEDFORK_NET_MESSAGE_FORM_H
#define KNAPWEEDFORK_NET_MESSAGE_FORM_H

#include <glib.h>
#include <knapweedfork/message.h>

/* Values of the message FORM.  A later build may send a higher one.  */
typedef enum
{
  MESSAGE_FORM_VERSIONS = 1,
  MESSAGE_FORM_REVISIONS = 2
} message_form_t;

/* Whether MESSAGE holds a revision that is no version.  */
bool message_has_revision (const kwf_message_t *message);

/* Replaces the revisions of MESSAGE by their versions.  Returns the array that
   its rows point into then; release it with g_array_unref.  NULL: it has no
   rows.  */
GArray *message_to_versions (kwf_message_t *message);

#endif
