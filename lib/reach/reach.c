#include "reach.h"

#include <string.h>

#include "../metric.h"

/* Interval of the checks.  */
#define CHECK_NS (100 * KWF_NS_PER_MS)
/* Silence of all servers that leads to doubt, with requests open at several
   servers, and at one.  */
#define SILENT_NS (300 * KWF_NS_PER_MS)
#define SILENT_ONE_NS (600 * KWF_NS_PER_MS)
/* Failures count for this time; this many servers with one lead to doubt.  */
#define FAILED_NS (2 * KWF_NS_PER_S)
#define FAILED_SERVERS 2
/* This process has not run for so long that silence says nothing.  */
#define GAP_NS (250 * KWF_NS_PER_MS)
/* Servers asked in a round and in a trial, and of one service if there are
   others.  */
#define ROUND_SERVERS 4
#define ROUND_SERVICE 2
/* Where servers are few, one in so many is asked, as each gets the questions
   of all instances.  */
#define ASKED_ONE_IN 4
/* If no server answers any instance, more questions would only add to a
   trouble of all servers.  */
#define SILENT_SERVERS 1
/* Questions that may be open at one server.  */
#define ROUND_QUESTIONS 4
/* An answer takes less.  Later rounds are longer, up to eight times.  */
#define ROUND_NS (250 * KWF_NS_PER_MS)
#define ROUND_DOUBLINGS 3
/* A round in which all connections fail at once takes this time.  */
#define ROUND_MIN_NS (100 * KWF_NS_PER_MS)
/* Later rounds are longer from this one on.  */
#define LONG_ROUND 4
/* Servers that one question to the others names, and an answer to one.  */
#define QUERY_SERVERS 16
/* The first question is about this time; a server that answered others counts
   as alive for this time.  */
#define ALIVE_NS (600 * KWF_NS_PER_MS)
/* A server that fails and comes back gives one proof.  */
#define PROOFS 2
/* After an answer, the next doubt waits for this time.  */
#define HOLD_NS (1 * KWF_NS_PER_S)
/* A stranded instance asks servers at this interval, and is back when one
   answers.  */
#define TRIAL_NS (500 * KWF_NS_PER_MS)
/* At first it asks again without waiting for answers, since it may be stranded
   by mistake.  */
#define EAGER_NS (1500 * KWF_NS_PER_MS)
#define TRIAL_QUESTIONS 1
/* An instance that no server has answered for HELP_NS, and for one in so many
   parts of the time that it is asked about, asks up to HELP_SERVERS for the
   other one.  */
#define HELP_PART 3
#define HELP_NS (100 * KWF_NS_PER_MS)
#define HELP_SERVERS 2
/* If servers have answered nobody for this time, it is no longer stranded.  An
   answer that came after one reply is told in the next one.  */
#define LAPSE_NS (1200 * KWF_NS_PER_MS)
/* It repeats that it is stranded at this interval.  */
#define TELL_NS (1 * KWF_NS_PER_S)

struct reach
{
  const kwf_clock_t *clock;
  uint64_t turn; /* at which the choice of servers goes on */
  reach_state_t state;
  int64_t data_ns;  /* last byte from any server */
  int64_t quiet_ns; /* last check without an open request */
  int64_t ran_ns;
  int64_t check_ns; /* next check */
  /* While in doubt.  */
  int64_t doubt_ns;   /* since when; answers elsewhere after this count */
  int64_t contact_ns; /* last byte before that, if the reason is silence; 0: it
                         is failures */
  int64_t elsewhere_ns; /* when another instance last told that servers that
                           were asked have answered it */
  /* Questions that showed that servers answer others only.  */
  int n_proofs;
  int64_t proof_number; /* of the last of them */
  int round;
  int64_t round_ns; /* begin of the round */
  int64_t round_length_ns;
  int n_asked;         /* in this round */
  int n_failed;        /* of them */
  int n_answers;       /* of servers that were asked, in doubt or stranded */
  int64_t number;      /* of the last question to the others */
  int64_t question_ns; /* begin of the time that it is about */
  int64_t hold_ns;     /* no doubt before this time */
  int64_t fine_ns;     /* end of the last doubt, which explains the failures
                          before it */
  /* While stranded.  */
  int64_t stranded_ns; /* since when */
  int64_t trial_ns;
  int64_t tell_ns;
  uint64_t n_doubts;
  uint64_t n_stranded;
};

reach_t *
reach_new (const kwf_core_options_t *options)
{
  reach_t *reach = g_new0 (reach_t, 1);
  reach->clock = options->clock;
  options->random->ops->fill (options->random, &reach->turn,
                              sizeof reach->turn);
  reach->turn %= UINT32_MAX;
  reach->ran_ns = kwf_now_ns (options->clock);
  return reach;
}

void
reach_free (reach_t *reach)
{
  g_free (reach);
}

reach_state_t
reach_state (const reach_t *reach)
{
  return reach->state;
}

bool
reach_is_unanswered (const reach_t *reach)
{
  return reach->state == REACH_STRANDED
         || (reach->state == REACH_DOUBT && reach->round);
}

static int64_t
now (const reach_t *reach)
{
  return kwf_now_ns (reach->clock);
}

void
reach_note_data (reach_t *reach, reach_mark_t *mark)
{
  mark->answered_ns = reach->data_ns = now (reach);
}

void
reach_note_failure (reach_t *reach, reach_mark_t *mark)
{
  mark->failed_ns = now (reach);
  reach->check_ns = MIN (reach->check_ns, now (reach));
}

void
reach_handle_answer (reach_t *reach, reach_mark_t *mark, int64_t asked_ns,
                     bool answered)
{
  mark->n_asked--;
  if (!answered)
    {
      reach->n_failed += asked_ns == reach->round_ns;
      return;
    }
  mark->last = mark->before_last = (reach_question_t){ 0 };
  reach_note_data (reach, mark);
  reach->n_answers++;
}

static GArray *
list_servers (reach_world_t *world)
{
  GArray *servers = g_array_new (FALSE, FALSE, sizeof (reach_server_t));
  world->ops->list_servers (world, servers);
  return servers;
}

static const reach_server_t *
server_at (const GArray *servers, guint i)
{
  return &g_array_index (servers, reach_server_t, i);
}

static bool
is_named (const char *const *names, size_t n, const char *id)
{
  for (size_t i = 0; i < n; i++)
    if (strcmp (names[i], id) == 0)
      return true;
  return false;
}

/* Whether QUESTION was put at the begin of the time that the last question to
   the others is about, when its server was known to answer them.  */
static bool
is_proof (const reach_t *reach, const reach_question_t *question)
{
  return question->alive && question->at_ns == reach->question_ns;
}

/* The server of MARK, which answered another instance in that time, was asked
   here at the begin of it and has not answered.  */
static bool
answers_others_only (const reach_t *reach, const reach_mark_t *mark)
{
  return is_proof (reach, &mark->last) || is_proof (reach, &mark->before_last);
}

/* The replies to one question are one proof.  */
static void
note_proof (reach_t *reach)
{
  reach->n_proofs += reach->proof_number != reach->number;
  reach->proof_number = reach->number;
  reach->elsewhere_ns = now (reach);
}

void
reach_handle_reply (reach_t *reach, reach_world_t *world,
                    const kwf_reach_reply_t *reply)
{
  if (reply->number != reach->number || reach->state == REACH_FINE)
    return;
  GArray *servers = list_servers (world);
  for (guint i = 0; i < servers->len; i++)
    {
      reach_mark_t *mark = server_at (servers, i)->mark;
      if (!is_named (reply->servers, reply->n_servers,
                     server_at (servers, i)->id))
        continue;
      if (reach->state == REACH_STRANDED)
        reach->elsewhere_ns = now (reach);
      else if (answers_others_only (reach, mark))
        note_proof (reach);
      mark->elsewhere_ns = now (reach);
    }
  g_array_unref (servers);
}

/* How many of SERVERS are asked at once, at most MOST.  */
static guint
share_of (const GArray *servers, guint most)
{
  return CLAMP (servers->len / ASKED_ONE_IN, 1, most);
}

static void
ask_server (reach_world_t *world, const reach_server_t *server, int64_t at_ns)
{
  server->mark->asked_ns = at_ns;
  server->mark->n_asked++;
  world->ops->ask_server (world, server->id, at_ns);
}

static const reach_server_t *
find_server (const GArray *servers, const char *id)
{
  for (guint i = 0; i < servers->len; i++)
    if (strcmp (server_at (servers, i)->id, id) == 0)
      return server_at (servers, i);
  return NULL;
}

/* Asks the first servers of QUERY, so that the next question can be answered:
   an instance with few requests would know of no server that answers.  */
static void
ask_for_others (const reach_t *reach, reach_world_t *world,
                const kwf_reach_query_t *query, const GArray *servers)
{
  guint n = 0;
  guint most = share_of (servers, HELP_SERVERS);
  for (size_t i = 0; i < query->n_servers && n < most; i++)
    {
      const reach_server_t *server = find_server (servers, query->servers[i]);
      if (!server || !server->may_ask)
        continue;
      n++;
      if (!server->mark->n_asked
          && now (reach) - server->mark->asked_ns >= HELP_NS)
        ask_server (world, server, now (reach));
    }
}

void
reach_answer_query (const reach_t *reach, reach_world_t *world,
                    const kwf_reach_query_t *query, GPtrArray *names)
{
  GArray *servers = list_servers (world);
  int64_t since_ns = now (reach) - query->age_ns;
  if (now (reach) - reach->data_ns >= MAX (HELP_NS, query->age_ns / HELP_PART))
    ask_for_others (reach, world, query, servers);
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < servers->len && names->len < QUERY_SERVERS; i++)
      {
        const reach_server_t *server = server_at (servers, i);
        if (server->mark->answered_ns && server->mark->answered_ns >= since_ns
            && is_named (query->servers, query->n_servers, server->id)
                   == !pass)
          g_ptr_array_add (names, (gpointer)server->id);
      }
  g_array_unref (servers);
}

static int
count_of_service (const GArray *servers, const GArray *chosen,
                  const char *service)
{
  int n = 0;
  for (guint i = 0; i < chosen->len; i++)
    n += strcmp (
             server_at (servers, g_array_index (chosen, guint, i))->service,
             service)
         == 0;
  return n;
}

/* Whether another instance has told lately that the server of MARK answers. */
static bool
answers_elsewhere (const reach_t *reach, const reach_mark_t *mark)
{
  return mark->elsewhere_ns && now (reach) - mark->elsewhere_ns < ALIVE_NS;
}

/* Chooses up to MOST servers that may be asked, with fewer than N_OPEN open
   questions, in turn: first those that answer others, then ROUND_SERVICE of
   one service, then any.  Returns their indices.  */
static GArray *
choose_servers (reach_t *reach, const GArray *servers, guint most, int n_open)
{
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (guint));
  for (int pass = 0; pass < 3; pass++)
    for (guint i = 0; i < servers->len && chosen->len < most; i++)
      {
        guint at = (guint)((reach->turn + i) % servers->len);
        const reach_server_t *server = server_at (servers, at);
        bool full = count_of_service (servers, chosen, server->service)
                    >= ROUND_SERVICE;
        bool taken = false;
        for (guint k = 0; k < chosen->len; k++)
          taken |= g_array_index (chosen, guint, k) == at;
        bool fits = pass == 0   ? answers_elsewhere (reach, server->mark)
                    : pass == 1 ? !full
                                : true;
        if (!taken && server->may_ask && server->mark->n_asked < n_open
            && fits)
          g_array_append_val (chosen, at);
      }
  reach->turn += most;
  return chosen;
}

static guint
ask_servers (reach_t *reach, reach_world_t *world, const GArray *servers,
             guint most, int n_open, int64_t at_ns)
{
  GArray *chosen = choose_servers (reach, servers, most, n_open);
  guint n = chosen->len;
  for (guint i = 0; i < n; i++)
    {
      const reach_server_t *server
          = server_at (servers, g_array_index (chosen, guint, i));
      server->mark->before_last = server->mark->last;
      server->mark->last
          = (reach_question_t){ at_ns,
                                answers_elsewhere (reach, server->mark) };
      ask_server (world, server, at_ns);
    }
  g_array_unref (chosen);
  return n;
}

/* Asks the others which servers have answered them since SINCE_NS, above all
   those that were asked here and have not answered: first those that were
   asked just now and whose answers there will be proofs.  */
static void
ask_hubs (reach_t *reach, reach_world_t *world, const GArray *servers,
          int64_t since_ns)
{
  const char *names[QUERY_SERVERS];
  size_t n = 0;
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < servers->len && n < QUERY_SERVERS; i++)
      {
        const reach_mark_t *mark = server_at (servers, i)->mark;
        bool asked = mark->last.at_ns >= since_ns || mark->n_asked;
        bool first = mark->last.alive && mark->last.at_ns == reach->round_ns;
        if (asked && first == !pass)
          names[n++] = server_at (servers, i)->id;
      }
  reach->question_ns = since_ns;
  kwf_message_t message = { .type = KWF_MSG_REACH_QUERY,
                            .reach_query = { .number = ++reach->number,
                                             .age_ns = now (reach) - since_ns,
                                             .servers = names,
                                             .n_servers = n } };
  world->ops->ask_hubs (world, &message);
}

static bool
any_elsewhere (const reach_t *reach, const GArray *servers)
{
  for (guint i = 0; i < servers->len; i++)
    if (answers_elsewhere (reach, server_at (servers, i)->mark))
      return true;
  return false;
}

static void
begin_round (reach_t *reach, reach_world_t *world, const GArray *servers)
{
  reach->n_failed = 0;
  reach->round_ns = now (reach);
  bool silent = reach->round && !any_elsewhere (reach, servers);
  guint n = silent ? SILENT_SERVERS : share_of (servers, ROUND_SERVERS);
  reach->n_asked = (int)ask_servers (reach, world, servers, n, ROUND_QUESTIONS,
                                     reach->round_ns);
  reach->round_length_ns
      = ROUND_NS << CLAMP (reach->round - LONG_ROUND, 0, ROUND_DOUBLINGS);
}

/* Whether the servers give reason for doubt.  */
static bool
is_doubtful (reach_t *reach, const GArray *servers)
{
  int64_t now_ns = now (reach);
  int n_open = 0;
  int n_failed = 0;
  for (guint i = 0; i < servers->len; i++)
    {
      const reach_server_t *server = server_at (servers, i);
      int64_t failed_ns = server->mark->failed_ns;
      n_open += server->n_open > 0;
      n_failed += failed_ns > reach->fine_ns && now_ns - failed_ns < FAILED_NS;
    }
  if (!n_open)
    reach->quiet_ns = now_ns;
  int64_t contact_ns = MAX (reach->data_ns, reach->quiet_ns);
  int64_t limit_ns = n_open > 1 ? SILENT_NS : SILENT_ONE_NS;
  bool silent = n_open && now_ns - contact_ns >= limit_ns;
  reach->contact_ns = silent ? contact_ns : 0;
  return silent || n_failed >= FAILED_SERVERS;
}

static void
check (reach_t *reach, reach_world_t *world)
{
  GArray *servers = list_servers (world);
  if (is_doubtful (reach, servers) && now (reach) >= reach->hold_ns)
    {
      reach->state = REACH_DOUBT;
      reach->doubt_ns = now (reach);
      reach->n_doubts++;
      reach->n_answers = 0;
      reach->round = 0;
      reach->n_proofs = 0;
      begin_round (reach, world, servers);
      ask_hubs (reach, world, servers, now (reach) - ALIVE_NS);
    }
  g_array_unref (servers);
}

static void
strand (reach_t *reach, reach_world_t *world)
{
  reach->state = REACH_STRANDED;
  reach->n_stranded++;
  reach->stranded_ns = now (reach);
  reach->n_answers = 0;
  reach->trial_ns = now (reach) + TRIAL_NS;
  reach->tell_ns = now (reach) + TELL_NS;
  world->ops->tell (world, true);
}

static void
end_doubt (reach_t *reach)
{
  reach->state = REACH_FINE;
  reach->fine_ns = now (reach);
  reach->hold_ns = now (reach) + HOLD_NS;
}

static void
run_doubt (reach_t *reach, reach_world_t *world)
{
  if (reach->n_answers
      || (reach->contact_ns && reach->data_ns > reach->contact_ns))
    {
      end_doubt (reach);
      return;
    }
  if (reach->n_proofs >= PROOFS)
    {
      strand (reach, world);
      return;
    }
  bool have_failed = reach->n_asked && reach->n_failed >= reach->n_asked;
  int64_t length_ns = have_failed ? ROUND_MIN_NS : reach->round_length_ns;
  if (now (reach) - reach->round_ns < MIN (length_ns, reach->round_length_ns))
    return;
  reach->round++;
  int64_t since_ns = reach->round_ns;
  GArray *servers = list_servers (world);
  begin_round (reach, world, servers);
  ask_hubs (reach, world, servers, since_ns);
  g_array_unref (servers);
}

static void
run_stranded (reach_t *reach, reach_world_t *world)
{
  if (reach->n_answers || now (reach) - reach->elsewhere_ns > LAPSE_NS)
    {
      end_doubt (reach);
      world->ops->tell (world, false);
      return;
    }
  if (now (reach) >= reach->trial_ns)
    {
      GArray *servers = list_servers (world);
      reach->trial_ns = now (reach) + TRIAL_NS;
      int64_t since_ns = reach->round_ns;
      reach->round_ns = now (reach);
      bool eager = now (reach) - reach->stranded_ns < EAGER_NS;
      ask_servers (reach, world, servers, share_of (servers, ROUND_SERVERS),
                   eager ? ROUND_QUESTIONS : TRIAL_QUESTIONS, reach->round_ns);
      ask_hubs (reach, world, servers, since_ns);
      g_array_unref (servers);
    }
  if (now (reach) >= reach->tell_ns)
    {
      reach->tell_ns = now (reach) + TELL_NS;
      world->ops->tell (world, true);
    }
}

/* What arrived while the process did not run is read after this step.  */
static void
note_gap (reach_t *reach)
{
  int64_t now_ns = now (reach);
  if (now_ns - reach->ran_ns > GAP_NS)
    {
      reach->quiet_ns = now_ns;
      if (reach->state == REACH_DOUBT)
        reach->state = REACH_FINE;
    }
  reach->ran_ns = now_ns;
}

void
reach_run (reach_t *reach, reach_world_t *world)
{
  note_gap (reach);
  if (reach->state == REACH_STRANDED)
    run_stranded (reach, world);
  else if (reach->state == REACH_DOUBT)
    run_doubt (reach, world);
  else if (now (reach) >= reach->check_ns)
    check (reach, world);
  if (now (reach) >= reach->check_ns)
    reach->check_ns = now (reach) + CHECK_NS;
}

int64_t
reach_next_tick_ns (const reach_t *reach, bool any_open)
{
  return any_open || reach->state != REACH_FINE ? reach->check_ns : INT64_MAX;
}

void
reach_write_metrics (const reach_t *reach, GString *out)
{
  metric_write_value (out, "kwf_stranded", "gauge",
                      reach->state == REACH_STRANDED);
  metric_write_value (out, "kwf_reach_doubts_total", "counter",
                      (double)reach->n_doubts);
  metric_write_value (out, "kwf_reach_stranded_total", "counter",
                      (double)reach->n_stranded);
}
