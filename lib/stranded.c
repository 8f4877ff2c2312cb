#include "stranded.h"

#include <string.h>

#include "fanout.h"
#include "notice.h"
#include "request.h"

/* What an instance told is forgotten after this time.  It repeats that it is
   stranded each second.  */
#define WORD_NS (3 * KWF_NS_PER_S)
/* Interval at which a stranded instance looks for requests to hand over.  */
#define HANDOVER_CHECK_NS (250 * KWF_NS_PER_MS)

typedef struct
{
  uint64_t incarnation;
  int64_t until_ns; /* it is stranded until then; 0: it is not */
} word_t;

struct stranded
{
  const kwf_clock_t *clock;
  GHashTable *words; /* instance to word_t */
  int64_t handover_ns;
};

stranded_t *
stranded_new (const kwf_core_options_t *options)
{
  stranded_t *stranded = g_new0 (stranded_t, 1);
  stranded->clock = options->clock;
  stranded->words
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return stranded;
}

void
stranded_free (stranded_t *stranded)
{
  if (!stranded)
    return;
  g_hash_table_unref (stranded->words);
  g_free (stranded);
}

static const word_t *
find_word (const stranded_t *stranded, const char *instance,
           uint64_t incarnation)
{
  const word_t *word = g_hash_table_lookup (stranded->words, instance);
  return word && word->incarnation == incarnation ? word : NULL;
}

void
stranded_note (stranded_t *stranded, const kwf_reach_t *told)
{
  word_t *word = g_hash_table_lookup (stranded->words, told->instance);
  if (word && word->incarnation > told->incarnation)
    return;
  if (!word)
    {
      word = g_new0 (word_t, 1);
      g_hash_table_insert (stranded->words, g_strdup (told->instance), word);
    }
  word->incarnation = told->incarnation;
  word->until_ns = told->stranded ? kwf_now_ns (stranded->clock) + WORD_NS : 0;
}

bool
stranded_has_told (const stranded_t *stranded, const char *instance,
                   uint64_t incarnation)
{
  return find_word (stranded, instance, incarnation) != NULL;
}

bool
stranded_has (const stranded_t *stranded, const char *instance,
              uint64_t incarnation)
{
  const word_t *word = find_word (stranded, instance, incarnation);
  return word && kwf_now_ns (stranded->clock) < word->until_ns;
}

bool
stranded_is_self (const kwf_core_t *core)
{
  return reach_state (core->reach) == REACH_STRANDED;
}

bool
stranded_may_be_self (const kwf_core_t *core)
{
  return reach_is_unanswered (core->reach);
}

bool
stranded_is_member (const kwf_core_t *core, const session_member_t *member)
{
  return strcmp (member->instance, core->options.instance) == 0
             ? stranded_is_self (core)
             : stranded_has (core->stranded, member->instance,
                             member->incarnation);
}

bool
stranded_are_left_out (const kwf_core_t *core)
{
  size_t n = 0;
  size_t n_stranded = 0;
  session_member_t member;
  size_t at = 0;
  while (session_next_member (core->session, &at, &member))
    if (session_member_live (core->session, &member) && !member.leaving)
      {
        n++;
        n_stranded += stranded_is_member (core, &member);
      }
  return 2 * n_stranded <= n;
}

bool
stranded_is_left_out (const kwf_core_t *core)
{
  return stranded_is_self (core) && stranded_are_left_out (core);
}

/* The surroundings of lib/reach.  */
typedef struct
{
  reach_world_t base;
  kwf_core_t *core;
  kwf_effects_t *effects;
} world_t;

static void
list_servers (reach_world_t *base, GArray *list)
{
  const kwf_core_t *core = ((world_t *)base)->core;
  int64_t now_ns = kwf_now_ns (core->options.clock);
  const GPtrArray *servers = backend_servers (core->backend);
  for (guint i = 0; i < servers->len; i++)
    {
      server_t *server = servers->pdata[i];
      if (!server->listed || server_leaving (server)
          || notice_server_is_paused (server, now_ns))
        continue;
      reach_server_t item
          = { .id = server->id,
              .service = server->name ? server->name : "",
              .mark = &server->reach,
              .n_open = server->open_attempts,
              .may_ask = limit_may_call (&server->limit, 0, now_ns) };
      g_array_append_val (list, item);
    }
}

static void
ask_server (reach_world_t *base, const char *id, int64_t asked_ns)
{
  const world_t *world = (const world_t *)base;
  server_t *server = backend_find (world->core->backend, id);
  backend_count_call (server, asked_ns, world->effects);
  kwf_effects_add (world->effects, KWF_FX_ASK)->probe
      = (kwf_probe_t){ server->id, server->address, asked_ns };
}

static const char *const *
copy_names (const char *const *names, size_t n, kwf_effects_t *effects)
{
  const char **copy = kwf_effects_alloc (effects, (n + 1) * sizeof *copy);
  for (size_t i = 0; i < n; i++)
    copy[i] = kwf_effects_strdup (effects, names[i]);
  return copy;
}

static void
ask_hubs (reach_world_t *base, const kwf_message_t *message)
{
  const world_t *world = (const world_t *)base;
  kwf_effects_t *effects = world->effects;
  const char *const *names = copy_names (
      message->reach_query.servers, message->reach_query.n_servers, effects);
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (world->core->session, &at, &member))
    {
      if (!member.hub || !member.linked)
        continue;
      kwf_message_t *copy
          = session_send (member.instance, message->type, effects);
      *copy = *message;
      copy->reach_query.servers = names;
    }
}

static kwf_message_t
own_word (const kwf_core_t *core, bool stranded, kwf_effects_t *effects)
{
  return (kwf_message_t){ .type = KWF_MSG_REACH,
                          .reach = { .instance = kwf_effects_strdup (
                                         effects, core->options.instance),
                                     .incarnation = core->options.incarnation,
                                     .stranded = stranded } };
}

/* The state is told again each second; only its changes are logged.  */
static void
tell (reach_world_t *base, bool stranded)
{
  const world_t *world = (const world_t *)base;
  kwf_message_t message = own_word (world->core, stranded, world->effects);
  fanout_send_decision (world->core->session, &message, world->effects);
}

static const reach_world_ops_t world_ops = { .list_servers = list_servers,
                                             .ask_server = ask_server,
                                             .ask_hubs = ask_hubs,
                                             .tell = tell };

static world_t
world_of (kwf_core_t *core, kwf_effects_t *effects)
{
  return (world_t){ { &world_ops }, core, effects };
}

void
stranded_note_attempt (kwf_core_t *core, const kwf_event_t *event)
{
  if (event->type != KWF_EV_ATTEMPT_DATA && event->type != KWF_EV_ATTEMPT_END
      && event->type != KWF_EV_ATTEMPT_FAILED)
    return;
  const attempt_t *attempt
      = handover_is (event->attempt.attempt)
            ? NULL
            : kwf_slots_get (core->attempts, event->attempt.attempt);
  if (!attempt)
    return;
  reach_mark_t *mark = &attempt->server->reach;
  kwf_failure_t failure = event->attempt.failure;
  if (event->type != KWF_EV_ATTEMPT_FAILED)
    reach_note_data (core->reach, mark);
  else if (failure != KWF_FAIL_NOT_SENT && failure != KWF_FAIL_OVERSIZED)
    reach_note_failure (core->reach, mark);
}

static void
answer_query (kwf_core_t *core, const kwf_peer_event_t *peer,
              kwf_effects_t *effects)
{
  world_t world = world_of (core, effects);
  const kwf_reach_query_t *query = &peer->message->reach_query;
  GPtrArray *names = g_ptr_array_new ();
  reach_answer_query (core->reach, &world.base, query, names);
  session_send (peer->instance, KWF_MSG_REACH_REPLY, effects)->reach_reply
      = (kwf_reach_reply_t){ .number = query->number,
                             .servers
                             = copy_names ((const char *const *)names->pdata,
                                           names->len, effects),
                             .n_servers = names->len };
  g_ptr_array_free (names, TRUE);
}

static void
handle_word (kwf_core_t *core, const kwf_peer_event_t *peer,
             kwf_effects_t *effects)
{
  const kwf_reach_t *word = &peer->message->reach;
  bool before
      = stranded_has (core->stranded, word->instance, word->incarnation);
  stranded_note (core->stranded, word);
  if (before != word->stranded)
    kwf_effects_log (effects, 262, KWF_LOG_INFO, NULL,
                     "instance=%s says that %s", word->instance,
                     word->stranded ? "no backend server answers it"
                                    : "backend servers answer it again");
  if (word->forwarded)
    return;
  kwf_message_t forwarded = *peer->message;
  forwarded.reach.instance = kwf_effects_strdup (effects, word->instance);
  forwarded.reach.forwarded = true;
  fanout_forward_decision (core->session, peer->instance, &forwarded, effects);
}

static void
handle_message (kwf_core_t *core, const kwf_peer_event_t *peer,
                kwf_effects_t *effects)
{
  const kwf_message_t *message = peer->message;
  if (message->type == KWF_MSG_REACH)
    handle_word (core, peer, effects);
  else if (message->type == KWF_MSG_REACH_QUERY)
    answer_query (core, peer, effects);
  else if (message->type == KWF_MSG_REACH_REPLY)
    {
      world_t world = world_of (core, effects);
      reach_handle_reply (core->reach, &world.base, &message->reach_reply);
    }
}

static void
handle_answer (kwf_core_t *core, const kwf_answered_event_t *answer)
{
  server_t *server = backend_find (core->backend, answer->server);
  if (server)
    reach_handle_answer (core->reach, &server->reach, answer->asked_ns,
                         answer->answered);
}

static void
handle_change (kwf_core_t *core, reach_state_t before, kwf_effects_t *effects)
{
  reach_state_t state = reach_state (core->reach);
  if (state == before)
    return;
  if (state == REACH_DOUBT)
    kwf_effects_log (effects, 265, KWF_LOG_INFO, NULL,
                     "backend servers are silent or fail: some are asked "
                     "whether they answer this instance");
  if (state != REACH_STRANDED && before != REACH_STRANDED)
    return;
  if (state == REACH_STRANDED)
    {
      kwf_effects_log (effects, 260, KWF_LOG_WARNING, NULL,
                       "no backend server answers this instance, and some "
                       "answer others: callers are sent elsewhere");
      core->stranded->handover_ns = 0;
      return;
    }
  kwf_effects_log (effects, 261, KWF_LOG_INFO, NULL,
                   "backend servers answer this instance again");
  backend_forget_failures (core->backend);
  waits_recheck_all (core);
}

void
stranded_step (kwf_core_t *core, const kwf_event_t *event,
               kwf_effects_t *effects)
{
  if (!core->options.push_updates)
    return;
  world_t world = world_of (core, effects);
  reach_state_t before = reach_state (core->reach);
  if (event->type == KWF_EV_PEER_MESSAGE)
    handle_message (core, &event->peer, effects);
  else if (event->type == KWF_EV_ANSWERED)
    handle_answer (core, &event->answered);
  else if (event->type == KWF_EV_PEER_UP)
    *session_send (event->peer.instance, KWF_MSG_REACH, effects)
        = own_word (core, stranded_is_self (core), effects);
  reach_run (core->reach, &world.base);
  handle_change (core, before, effects);
  placement_set_able (core->placement, !stranded_is_left_out (core));
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (!stranded_is_self (core) || now_ns < core->stranded->handover_ns)
    return;
  core->stranded->handover_ns = now_ns + HANDOVER_CHECK_NS;
  handover_open_requests (core, effects);
}

int64_t
stranded_next_tick_ns (const kwf_core_t *core)
{
  if (!core->options.push_updates)
    return INT64_MAX;
  bool any_open = kwf_slots_count (core->attempts) > 0;
  int64_t next_ns = reach_next_tick_ns (core->reach, any_open);
  return stranded_is_self (core) ? MIN (next_ns, core->stranded->handover_ns)
                                 : next_ns;
}
