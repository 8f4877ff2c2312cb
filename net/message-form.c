#include "message-form.h"

#include "../lib/revision.h"

/* No type of message has more revisions outside its rows.  */
#define REVISIONS_MAX 2

typedef struct
{
  int64_t *revisions[REVISIONS_MAX];
  size_t n_revisions;
  const kwf_row_t **rows; /* NULL: the type has none */
  size_t n_rows;
} fields_t;

static fields_t
fields_of (kwf_message_t *message)
{
  switch (message->type)
    {
    case KWF_MSG_RENEW:
      return (fields_t){ .revisions = { &message->renew.after },
                         .n_revisions = 1 };
    case KWF_MSG_RENEWED:
      return (fields_t){ .revisions = { &message->renewed.revision },
                         .n_revisions = 1,
                         .rows = &message->renewed.rows,
                         .n_rows = message->renewed.n_rows };
    case KWF_MSG_STATE_REQUEST:
      return (fields_t){ .revisions = { &message->state_after },
                         .n_revisions = 1 };
    case KWF_MSG_STATE_ROWS:
      return (fields_t){ .revisions = { &message->state_rows.revision },
                         .n_revisions = 1,
                         .rows = &message->state_rows.rows,
                         .n_rows = message->state_rows.n_rows };
    case KWF_MSG_FEED:
      return (fields_t){ .revisions
                         = { &message->feed.after, &message->feed.revision },
                         .n_revisions = 2,
                         .rows = &message->feed.rows,
                         .n_rows = message->feed.n_rows };
    case KWF_MSG_LEADERSHIP_EXPIRED:
      return (fields_t){ .revisions = { &message->leadership_expired },
                         .n_revisions = 1 };
    default:
      return (fields_t){ 0 };
    }
}

bool
message_has_revision (const kwf_message_t *message)
{
  kwf_message_t copy = *message;
  fields_t fields = fields_of (&copy);
  for (size_t i = 0; i < fields.n_revisions; i++)
    if (revision_era (*fields.revisions[i]))
      return true;
  for (size_t i = 0; i < fields.n_rows; i++)
    if (revision_era ((*fields.rows)[i].version))
      return true;
  return false;
}

GArray *
message_to_versions (kwf_message_t *message)
{
  fields_t fields = fields_of (message);
  for (size_t i = 0; i < fields.n_revisions; i++)
    *fields.revisions[i] = revision_version (*fields.revisions[i]);
  if (!fields.n_rows)
    return NULL;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (kwf_row_t));
  g_array_append_vals (rows, *fields.rows, (guint)fields.n_rows);
  for (guint i = 0; i < rows->len; i++)
    {
      kwf_row_t *row = &g_array_index (rows, kwf_row_t, i);
      row->version = revision_version (row->version);
    }
  *fields.rows = (const kwf_row_t *)(void *)rows->data;
  return rows;
}
