/* The owner of a limit in this instance's view of the members, and what the
   instance tells of a limit.  */

#include "permit.h"

#include <string.h>
#include <xxhash.h>

static bool
may_own (const session_t *session, const session_member_t *member)
{
  return member->hub && !member->leaving
         && session_member_live (session, member);
}

const char *
permits_owner (const session_t *session, const server_t *server)
{
  const char *owner = "";
  uint64_t best_rank = 0;
  session_member_t member;
  size_t at = 0;
  while (session_next_member (session, &at, &member))
    {
      uint64_t rank
          = XXH64 (member.instance, strlen (member.instance), server->hash);
      if (!may_own (session, &member) || (*owner && rank <= best_rank))
        continue;
      owner = member.instance;
      best_rank = rank;
    }
  return owner;
}

int64_t
permits_describe_cold (const server_t *server, int64_t now_ns)
{
  const cold_t *cold = &server->limit.cold;
  cold_state_t state = cold_state (cold, now_ns);
  if (cold->per_s <= 0 || state == COLD_ASSUMED)
    return 0;
  return state == COLD_ANNOUNCED ? cold->until_ns - now_ns : KWF_COLD_DENIED;
}

kwf_server_limit_t
permits_describe (const server_t *server, int64_t now_ns,
                  kwf_effects_t *effects)
{
  int64_t cold_ns = permits_describe_cold (server, now_ns);
  return (kwf_server_limit_t){ .server
                               = kwf_effects_strdup (effects, server->id),
                               .incarnation = server->incarnation,
                               .version = server->limit.version,
                               .named = server->limit.named,
                               .rate_per_s = server->limit.rate_per_s,
                               .cold_ns = MAX (cold_ns, 0) };
}

bool
permits_is_told (const server_t *server, int64_t now_ns)
{
  const limit_t *limit = &server->limit;
  return limit_in_force (limit, now_ns)
         && (limit->version
             || cold_state (&limit->cold, now_ns) == COLD_ANNOUNCED);
}
