#include "restored.h"

#include <knapweedfork/clock.h>

#include "revision.h"

restored_list_t
restored_list (const backend_t *backend, const kwf_members_event_t *event,
               int64_t before, int64_t current_ns)
{
  restored_list_t list = { .current_ns = current_ns, .copy_end = INT64_MAX };
  int64_t era = revision_era (event->revision);
  if (!before || revision_era (before) >= era)
    return list;
  list.lost_end = revision_version (before) + 1;
  for (size_t i = 0; i < event->n_members; i++)
    {
      const kwf_member_t *member = &event->members[i];
      const server_t *server = backend_find (backend, member->id);
      int64_t known = server && server->listed
                          ? revision_version (server->restored.revision)
                          : 0;
      /* Its entry of the version that was known is not in the copy.  */
      if (revision_version (member->revision) < known && known < list.copy_end)
        list.copy_end = known;
    }
  return list;
}

static bool
is_known_to_have_left (const server_t *server)
{
  return server->member_leaving || server->notice.leaving || !server->listed;
}

static void
hold (server_t *server, int64_t revision, int64_t now_ns)
{
  server->restored.held_revision = revision;
  server->restored.until_ns = now_ns + RESTORED_HOLD_NS;
  /* Nor does it take back what an answer announced.  */
  if (server->notice.unsettled_revision < revision)
    server->notice.unsettled_revision = revision;
}

restored_word_t
restored_check (server_t *server, const kwf_member_t *member, bool added,
                const restored_list_t *list, int64_t now_ns)
{
  restored_t *restored = &server->restored;
  int64_t known = restored->revision;
  bool later_era
      = known && revision_era (member->revision) > revision_era (known);
  if (later_era && member->described
      && member->incarnation < server->incarnation)
    return RESTORED_REPLACED;
  if (member->revision > known)
    restored->revision = member->revision;
  /* The list before lacked it, though it is older: it was removed.  */
  int64_t version = revision_version (member->revision);
  bool may_be_copied = version < list->copy_end;
  bool removed = added && version < list->lost_end;
  bool left = later_era && member->incarnation == server->incarnation
              && is_known_to_have_left (server);
  if (!member->leaving && may_be_copied && (removed || left))
    hold (server, member->revision, now_ns);
  bool held = restored->until_ns && restored->held_revision == member->revision
              && list->current_ns < restored->until_ns;
  if (!held)
    restored->until_ns = 0;
  return held ? RESTORED_LEFT : RESTORED_CURRENT;
}

void
restored_note_absent (server_t *server, int64_t revision)
{
  if (server->restored.revision < revision)
    server->restored.revision = revision;
  server->restored.until_ns = 0;
}
