/* The form of the messages on a link (message-form.h).  */

#include "message-form.h"
#include "peer-internal.h"

#include "../lib/logging.h"
#include "../lib/revision.h"

/* A peer whose form is not known is asked with one turn of PING in so many.
   It answers only if it knows a row after the one in the question.  The first
   question brings few rows; one in ASK_ALL brings all of the era, as a peer
   that gets no changes may be seconds behind.  */
#define ASK_PINGS 4
#define ASK_ALL 4

kwf_status_t
link_send (link_t *link, const kwf_message_t *message)
{
  if (link->reads_revisions || !message_has_revision (message))
    return link_send_frame (link, message);
  if (!link->form_logged)
    logging_event (21, KWF_LOG_INFO,
                   "instance %s is sent versions instead of revisions",
                   link->theirs.instance);
  link->form_logged = true;
  kwf_message_t copy = *message;
  GArray *rows = message_to_versions (&copy);
  kwf_status_t status = link_send_frame (link, &copy);
  if (rows)
    g_array_unref (rows);
  return status;
}

void
link_send_form (link_t *link)
{
  static const kwf_message_t form
      = { .type = KWF_MSG_FORM, .form = MESSAGE_FORM_REVISIONS };
  link_send_frame (link, &form);
}

void
link_ask_form (link_t *link)
{
  const peers_t *peers = link->peers;
  if (link->reads_revisions || !peers->handler->revision
      || link->n_pings++ % ASK_PINGS)
    return;
  int64_t revision = peers->handler->revision (peers->data);
  if (!revision_era (revision))
    return;
  int64_t after = link->n_questions++ % ASK_ALL == 1
                      ? revision_make (revision_era (revision), 0)
                      : revision - 1;
  kwf_message_t question
      = { .type = KWF_MSG_STATE_REQUEST, .state_after = after };
  link_send_frame (link, &question);
}

bool
link_note_form (link_t *link, const kwf_message_t *message)
{
  bool is_form = message->type == KWF_MSG_FORM;
  bool before = link->reads_revisions;
  link->reads_revisions |= is_form ? message->form >= MESSAGE_FORM_REVISIONS
                                   : !before && message_has_revision (message);
  if (link->reads_revisions && !before && link->form_logged)
    logging_event (21, KWF_LOG_INFO, "instance %s is sent revisions",
                   link->theirs.instance);
  return is_form;
}
