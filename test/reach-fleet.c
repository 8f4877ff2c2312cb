#include "reach-fleet.h"

#include <string.h>

#include "common-core.h"
#include "lib/core-state.h"

#define MS KWF_NS_PER_MS
#define STEP_MS 10
#define LENGTH_MS 15000
/* The cut, or the troubles of servers, begin and end at these times.  */
#define CUT_MS 3000
#define CUT_END_MS 10000

/* bounds.contact_ms: later than this after a cut began, first tries count.  */
#define CONTACT_MS 3000
/* Callers use an answer of a directory for this time, each third one for three
   times as long.  */
#define DIRECTORY_MS 1000
#define KEPT_MS 3000
/* A message between instances takes this time.  */
#define LINK_MS 10
#define N_SERVICES 2
#define SERVERS_MAX 240
/* Requests a second, of a small and of a large fleet, and of each instance at
   least.  */
#define SMALL_FLEET 8
#define SMALL_FLEET_PER_S 170.0
#define LARGE_FLEET_PER_S 450.0
#define LEAST_PER_S 2.2
/* A request without an answer is given up after this time.  */
#define DEADLINE_MS 4000
/* A question that hangs fails after this time.  */
#define QUESTION_MS 1000
#define FAIL_MS 2
#define ANSWER_MS 5
/* Each third request is a stream with these events.  */
#define EVENT_GAP_MS 50
#define STREAM_MS 3000
#define FIRST_EVENT_MS 250

typedef enum
{
  SERVER_WELL,
  SERVER_DARK,   /* does not answer */
  SERVER_DOWN,   /* refuses connections */
  SERVER_SLOW,   /* answers after much longer */
  SERVER_REJECTS /* answers at once that it has no room */
} server_state_t;

typedef struct
{
  char id[12];
  char service[12];
  server_state_t state;
} fake_server_t;

typedef struct
{
  int server;
  int64_t next_ns; /* its next data, or failure */
  int64_t end_ns;  /* of its stream; else that of its only data */
  int64_t sent_ns;
  bool is_question;
  bool is_retry;
} call_t;

typedef struct
{
  int64_t at_ns;
  int to;
  int from;
  bool is_query;
  int64_t number;
  int64_t age_ns;
  int64_t sent_ns;
  GPtrArray *names; /* of servers */
} letter_t;

typedef struct fleet fleet_t;

typedef struct
{
  reach_world_t world; /* first member */
  fleet_t *fleet;
  int number;
  reach_t *reach;
  reach_mark_t *marks;
  GArray *calls; /* of call_t */
  bool is_cut;
  bool stranded;
  int64_t stranded_ns;
  int mistake_ms;        /* for which its process has run since, by mistake */
  int64_t tried_ns;      /* first try of a caller in the cut */
  int64_t late_until_ns; /* its process does not run */
  reach_state_t state;
} instance_t;

struct fleet
{
  const reach_play_t *play;
  core_world_t core; /* its clock and options */
  GRand *random;
  instance_t *instances;
  fake_server_t servers[SERVERS_MAX];
  int n_servers;
  GQueue letters; /* of letter_t, in the order of their arrival */
  bool cut;
  reach_result_t result;
};

static int64_t
now (const fleet_t *fleet)
{
  return fleet->core.clock.now_ns;
}

static int
draw (fleet_t *fleet, int below)
{
  return g_rand_int_range (fleet->random, 0, below);
}

static void
list_servers (reach_world_t *world, GArray *list)
{
  const instance_t *instance = (const instance_t *)world;
  const fleet_t *fleet = instance->fleet;
  int open[SERVERS_MAX] = { 0 };
  for (guint i = 0; i < instance->calls->len; i++)
    {
      const call_t *call = &g_array_index (instance->calls, call_t, i);
      open[call->server] += !call->is_question;
    }
  for (int i = 0; i < fleet->n_servers; i++)
    {
      reach_server_t server = { .id = fleet->servers[i].id,
                                .service = fleet->servers[i].service,
                                .mark = &instance->marks[i],
                                .n_open = open[i],
                                .may_ask = true };
      g_array_append_val (list, server);
    }
}

/* How long a server takes to its first data.  */
static int
first_data_ms (fleet_t *fleet, const fake_server_t *server, bool stream)
{
  int ms = stream ? 50 + draw (fleet, FIRST_EVENT_MS) : 10 + draw (fleet, 30);
  return server->state == SERVER_SLOW ? ms * 8 : ms;
}

static void
add_call (instance_t *instance, int number, bool is_question)
{
  fleet_t *fleet = instance->fleet;
  const fake_server_t *server = &fleet->servers[number];
  bool stream = !is_question && !draw (fleet, 3);
  call_t call = { .server = number,
                  .sent_ns = now (fleet),
                  .is_question = is_question,
                  .next_ns = INT64_MAX };
  bool cut = fleet->cut && instance->is_cut;
  bool hangs = (cut && fleet->play->cut == REACH_CUT_HANGS)
               || server->state == SERVER_DARK;
  bool fails = (cut && !hangs) || server->state == SERVER_DOWN;
  if (!hangs && !fails)
    {
      int ms = is_question || server->state == SERVER_REJECTS
                   ? ANSWER_MS
                   : first_data_ms (fleet, server, stream);
      call.next_ns = now (fleet) + ms * MS;
      call.end_ns = stream ? call.next_ns + STREAM_MS * MS : call.next_ns;
    }
  else if (fails)
    call.next_ns = now (fleet) + FAIL_MS * MS;
  g_array_append_val (instance->calls, call);
}

static void
ask_server (reach_world_t *world, const char *id, int64_t asked_ns)
{
  (void)asked_ns;
  instance_t *instance = (instance_t *)world;
  for (int i = 0; i < instance->fleet->n_servers; i++)
    if (strcmp (instance->fleet->servers[i].id, id) == 0)
      add_call (instance, i, true);
}

static void
send_letter (fleet_t *fleet, const letter_t *letter)
{
  letter_t *copy = g_memdup2 (letter, sizeof *letter);
  copy->at_ns = now (fleet) + LINK_MS * MS;
  copy->sent_ns = now (fleet);
  g_queue_push_tail (&fleet->letters, copy);
}

/* In a large fleet, these are the hubs.  */
#define HUBS_MAX 24

static void
ask_hubs (reach_world_t *world, const kwf_message_t *message)
{
  instance_t *instance = (instance_t *)world;
  fleet_t *fleet = instance->fleet;
  int step = MAX (fleet->play->n / HUBS_MAX, 1);
  for (int i = 0; i < fleet->play->n; i += step)
    {
      if (i == instance->number)
        continue;
      letter_t letter = { .to = i,
                          .from = instance->number,
                          .is_query = true,
                          .number = message->reach_query.number,
                          .age_ns = message->reach_query.age_ns,
                          .names = g_ptr_array_new_with_free_func (g_free) };
      for (size_t k = 0; k < message->reach_query.n_servers; k++)
        g_ptr_array_add (letter.names,
                         g_strdup (message->reach_query.servers[k]));
      send_letter (fleet, &letter);
    }
}

static void
tell (reach_world_t *world, bool stranded)
{
  instance_t *instance = (instance_t *)world;
  fleet_t *fleet = instance->fleet;
  reach_result_t *result = &fleet->result;
  if (stranded == instance->stranded)
    return;
  instance->stranded = stranded;
  if (stranded)
    {
      instance->stranded_ns = now (fleet);
      instance->mistake_ms = 0;
      bool right = fleet->cut && instance->is_cut;
      result->n_stranded += right;
      result->n_mistaken += !right;
      int ms
          = (int)((now (fleet) - MAX (instance->tried_ns, CUT_MS * MS)) / MS)
            + LINK_MS;
      if (right)
        {
          result->first_ms
              = result->first_ms ? MIN (result->first_ms, ms) : ms;
          result->last_ms = MAX (result->last_ms, ms);
        }
    }
  else if (instance->is_cut && !fleet->cut)
    result->back_ms = (int)(now (fleet) / MS) - CUT_END_MS;
}

static const reach_world_ops_t world_ops = { .list_servers = list_servers,
                                             .ask_server = ask_server,
                                             .ask_hubs = ask_hubs,
                                             .tell = tell };

static void
deliver (fleet_t *fleet, const letter_t *letter)
{
  instance_t *instance = &fleet->instances[letter->to];
  if (!letter->is_query)
    {
      kwf_reach_reply_t reply
          = { .number = letter->number,
              .servers = (const char *const *)letter->names->pdata,
              .n_servers = letter->names->len };
      reach_handle_reply (instance->reach, &instance->world, &reply);
      return;
    }
  kwf_reach_query_t query
      = { .number = letter->number,
          .age_ns = letter->age_ns,
          .servers = (const char *const *)letter->names->pdata,
          .n_servers = letter->names->len };
  GPtrArray *names = g_ptr_array_new ();
  reach_answer_query (instance->reach, &instance->world, &query, names);
  send_letter (fleet, &(letter_t){ .to = letter->from,
                                   .from = letter->to,
                                   .number = letter->number,
                                   .names = names });
}

static void
free_letter (void *data)
{
  letter_t *letter = data;
  if (letter->names)
    g_ptr_array_free (letter->names, TRUE);
  g_free (letter);
}

static void
run_letters (fleet_t *fleet)
{
  const letter_t *first;
  while ((first = g_queue_peek_head (&fleet->letters))
         && first->at_ns <= now (fleet))
    {
      letter_t *letter = g_queue_pop_head (&fleet->letters);
      deliver (fleet, letter);
      free_letter (letter);
    }
}

/* CALL has failed: its request goes to another server once.  */
static void
retry (instance_t *instance, const call_t *call)
{
  fleet_t *fleet = instance->fleet;
  if (call->is_retry)
    return;
  add_call (instance, draw (fleet, fleet->n_servers), false);
  g_array_index (instance->calls, call_t, instance->calls->len - 1).is_retry
      = true;
}

/* Data or the failure of CALL is due; returns whether it ends.  */
static bool
run_call (instance_t *instance, call_t *call)
{
  fleet_t *fleet = instance->fleet;
  reach_mark_t *mark = &instance->marks[call->server];
  const fake_server_t *server = &fleet->servers[call->server];
  bool hangs = server->state == SERVER_DARK
               || (fleet->cut && instance->is_cut
                   && fleet->play->cut == REACH_CUT_HANGS);
  int64_t age_ns = now (fleet) - call->sent_ns;
  if (hangs || call->next_ns == INT64_MAX)
    {
      bool over
          = age_ns > (call->is_question ? QUESTION_MS : DEADLINE_MS) * MS;
      if (over && call->is_question)
        reach_handle_answer (instance->reach, mark, call->sent_ns, false);
      else if (over)
        reach_note_failure (instance->reach, mark);
      return over;
    }
  if (call->next_ns > now (fleet))
    return false;
  bool failed = !call->end_ns || server->state == SERVER_DOWN
                || (fleet->cut && instance->is_cut
                    && fleet->play->cut == REACH_CUT_RESETS);
  if (call->is_question)
    reach_handle_answer (instance->reach, mark, call->sent_ns, !failed);
  else if (failed)
    {
      reach_note_failure (instance->reach, mark);
      retry (instance, call);
    }
  else
    reach_note_data (instance->reach, mark);
  call->next_ns += EVENT_GAP_MS * MS;
  return failed || call->next_ns > call->end_ns;
}

static void
count_try (instance_t *instance)
{
  fleet_t *fleet = instance->fleet;
  add_call (instance, draw (fleet, fleet->n_servers), false);
  if (!fleet->cut)
    return;
  if (instance->is_cut && !instance->tried_ns)
    instance->tried_ns = now (fleet);
  bool counts = now (fleet) / MS > CUT_MS + CONTACT_MS;
  fleet->result.n_late += counts;
  fleet->result.n_late_there += counts && instance->is_cut;
}

static void
run_instance (instance_t *instance)
{
  fleet_t *fleet = instance->fleet;
  if (now (fleet) < instance->late_until_ns)
    return;
  reach_run (instance->reach, &instance->world);
  for (guint i = instance->calls->len; i-- > 0;)
    {
      /* A retry may move the calls.  */
      call_t call = g_array_index (instance->calls, call_t, i);
      bool over = run_call (instance, &call);
      g_array_index (instance->calls, call_t, i) = call;
      if (over)
        g_array_remove_index_fast (instance->calls, i);
    }
  int n = fleet->play->n;
  double fleet_per_s = n > SMALL_FLEET ? LARGE_FLEET_PER_S : SMALL_FLEET_PER_S;
  double per_s = fleet->play->per_s;
  if (per_s <= 0)
    per_s = MAX (fleet_per_s / n, LEAST_PER_S);
  /* Callers go elsewhere when the answers of the directories run out, each
     third one later.  */
  int64_t left_out_ns
      = instance->stranded ? now (fleet) - instance->stranded_ns : 0;
  if (left_out_ns > DIRECTORY_MS * MS)
    per_s = left_out_ns > KEPT_MS * MS ? 0 : per_s / 3;
  if (g_rand_double (fleet->random) < per_s * STEP_MS / 1e3)
    count_try (instance);
  reach_run (instance->reach, &instance->world);
  fleet->result.n_doubts += reach_state (instance->reach) == REACH_DOUBT
                            && instance->state != REACH_DOUBT;
  instance->state = reach_state (instance->reach);
  if (!instance->stranded || instance->is_cut)
    return;
  instance->mistake_ms += STEP_MS;
  fleet->result.longest_mistake_ms
      = MAX (fleet->result.longest_mistake_ms, instance->mistake_ms);
}

/* A trouble of servers: of some of them, of a service, or of all.  */
static void
trouble (fleet_t *fleet)
{
  static const server_state_t states[]
      = { SERVER_DARK, SERVER_DOWN, SERVER_SLOW, SERVER_REJECTS, SERVER_WELL };
  server_state_t state = states[draw (fleet, 5)];
  int scope = draw (fleet, 4);
  int chosen = draw (fleet, N_SERVICES);
  for (int i = 0; i < fleet->n_servers; i++)
    if (scope == 0 || (scope == 1 && i % N_SERVICES == chosen)
        || (scope > 1 && !draw (fleet, 4)))
      fleet->servers[i].state = state;
  if (!draw (fleet, 3))
    fleet->instances[draw (fleet, fleet->play->n)].late_until_ns
        = now (fleet) + (100 + draw (fleet, 3000)) * MS;
}

static void
run_step (fleet_t *fleet)
{
  fleet->core.clock.now_ns += STEP_MS * MS;
  int64_t ms = now (fleet) / MS;
  bool active = ms >= CUT_MS && ms < CUT_END_MS;
  fleet->cut = active && fleet->play->n_cut;
  if (active && !fleet->play->n_cut && !draw (fleet, 70))
    trouble (fleet);
  if (ms == CUT_END_MS)
    for (int i = 0; i < fleet->n_servers; i++)
      fleet->servers[i].state = SERVER_WELL;
  run_letters (fleet);
  int n_stranded = 0;
  for (int i = 0; i < fleet->play->n; i++)
    {
      run_instance (&fleet->instances[i]);
      n_stranded += fleet->instances[i].stranded;
    }
  if (n_stranded && 2 * n_stranded <= fleet->play->n)
    fleet->result.left_out_ms += STEP_MS;
}

static void
start (fleet_t *fleet)
{
  int n = fleet->play->n;
  core_world_start (&fleet->core);
  fleet->core.clock.now_ns = KWF_NS_PER_S;
  fleet->n_servers = fleet->play->n_servers;
  if (!fleet->n_servers)
    fleet->n_servers = CLAMP (n * 8 / 10, 12, SERVERS_MAX);
  for (int i = 0; i < fleet->n_servers; i++)
    {
      fake_server_t *server = &fleet->servers[i];
      g_snprintf (server->id, sizeof server->id, "s%d", i);
      g_snprintf (server->service, sizeof server->service, "v%d",
                  i % N_SERVICES);
    }
  fleet->instances = g_new0 (instance_t, (gsize)n);
  for (int i = 0; i < n; i++)
    fleet->instances[i] = (instance_t){
      .world = { &world_ops },
      .fleet = fleet,
      .number = i,
      .reach = reach_new (&fleet->core.core->options),
      .marks = g_new0 (reach_mark_t, (gsize)fleet->n_servers),
      .calls = g_array_new (FALSE, FALSE, sizeof (call_t)),
      .is_cut = i < fleet->play->n_cut,
    };
}

static void
end (fleet_t *fleet)
{
  for (int i = 0; i < fleet->play->n; i++)
    {
      instance_t *instance = &fleet->instances[i];
      reach_free (instance->reach);
      g_free (instance->marks);
      g_array_free (instance->calls, TRUE);
    }
  g_free (fleet->instances);
  g_queue_clear_full (&fleet->letters, free_letter);
  g_rand_free (fleet->random);
  core_world_stop (&fleet->core);
}

reach_result_t
reach_fleet_play (const reach_play_t *play)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  fleet->play = play;
  fleet->random = g_rand_new_with_seed ((guint32)play->seed);
  g_queue_init (&fleet->letters);
  start (fleet);
  while (now (fleet) / MS < LENGTH_MS)
    run_step (fleet);
  end (fleet);
  reach_result_t result = fleet->result;
  g_free (fleet);
  return result;
}
