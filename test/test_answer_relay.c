/* Answers that break at any byte, through a real instance: each caller gets a
   whole answer of one server, or one that is visibly broken, in time.

   KWF_SEED replays a run, and KWF_ANSWER_CASES sets the number of its
   cases.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <glib/gstdio.h>

#include "answer_relay.h"
#include "common-fake-store.h"
#include "common-process.h"

#define N_SERVERS 4
#define N_CASES 600
/* Calls with good answers after each case, so that the retry budget lasts.  */
#define N_GOOD 10
#define MAX_AT_ONCE 32
#define N_REPEATS 20
/* Beyond the deadline of 1 s that the callers send.  */
#define LIMIT_S 1.6
#define RUBBISH "\x01\x02\xfe\xff rubb"

static const struct
{
  const char *prefix;
  const char *settings;
} routes[N_ROUTES] = {
  [ROUTE_REPEATABLE] = { "/r/", "\"kind\":\"idempotent\"" },
  [ROUTE_ONCE] = { "/n/", "\"kind\":\"non_idempotent\"" },
  [ROUTE_STREAM] = { "/s/", "\"kind\":\"stream\"" },
  [ROUTE_TWIN] = { "/w/", "\"kind\":\"idempotent\"" },
  [ROUTE_RESUMABLE] = { "/t/", "\"kind\":\"stream\",\"resumable\":true" },
};

static const relay_case_t good_case = { .good = true };

typedef struct fixture fixture_t;

/* A call under way.  */
typedef struct
{
  fixture_t *fixture;
  relay_case_t relay_case;
  char id[24];
  int arrivals;
  int connection; /* number of the connection of the first arrival */
} flight_t;

struct fixture
{
  struct ev_loop *loop;
  fake_store_t *store;
  process_t daemon;
  listener_t *servers[N_SERVERS];
  listener_t *twin; /* of the second service: two entries have its address, as
                       after a restart under another id */
  char *directory;
  char *settings;
  GHashTable *flights; /* by id */
  GRand *random;
  int n_started;
  int n_cases;
  int n_ended;
  int n_reached; /* cases whose request reached a server */
  int n_second;  /* whose request reached a second one */
  int n_faults;
  int n_reused; /* repeats on the connection of the first attempt */
  int last_status;
};

static void
send_spoilt (connection_t *connection, const relay_case_t *relay_case,
             const char *id)
{
  GString *bytes = relay_answer (relay_case->kind, id, 1, 0);
  size_t at = MIN (relay_case->at, bytes->len);
  if (relay_case->spoil == SPOIL_CUT || relay_case->spoil == SPOIL_RUBBISH)
    g_string_truncate (bytes, at);
  if (relay_case->spoil == SPOIL_RUBBISH || relay_case->spoil == SPOIL_AFTER)
    g_string_append (bytes, RUBBISH);
  if (relay_case->spoil == SPOIL_SECOND)
    {
      GString *second = relay_answer (ANSWER_LENGTH, id, 9, 0);
      g_string_append_len (bytes, second->str, (gssize)second->len);
      g_string_free (second, TRUE);
    }
  sender_start (connection, bytes->str, bytes->len, relay_case->piece,
                relay_case->ending);
  g_string_free (bytes, TRUE);
}

/* The call under way to which REQUEST belongs; NULL: none.  */
static flight_t *
find_flight (const fixture_t *fixture, const char *request)
{
  char id[24] = "";
  const char *at = strcasestr (request, "\r\nx-request-id: ");
  g_strlcpy (id, at ? at + 16 : "", sizeof id);
  id[strcspn (id, "\r")] = '\0';
  return g_hash_table_lookup (fixture->flights, id);
}

/* Refuses a request and keeps the connection; answers its repeat, on the same
   connection after a late copy of another answer to it.  */
static void
serve_twin (connection_t *connection, const char *request, void *data)
{
  fixture_t *fixture = data;
  flight_t *flight = find_flight (fixture, request);
  if (!flight)
    {
      connection_close (connection);
      return;
    }
  bool first = ++flight->arrivals == 1;
  bool reused = !first && flight->connection == connection->number;
  flight->connection = connection->number;
  fixture->n_second += !first;
  fixture->n_reused += reused;
  for (int late = reused; late >= 0; late--)
    {
      GString *bytes
          = relay_answer (first ? ANSWER_REFUSAL : ANSWER_LENGTH, flight->id,
                          late ? 9 : flight->arrivals, 0);
      connection_write (connection, bytes->str, bytes->len);
      g_string_free (bytes, TRUE);
    }
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  const fixture_t *fixture = data;
  const char *last = strcasestr (request, "\r\nlast-event-id: ");
  flight_t *flight = find_flight (fixture, request);
  if (!flight)
    {
      connection_close (connection);
      return;
    }
  flight->arrivals++;
  const relay_case_t *relay_case = &flight->relay_case;
  if (flight->arrivals == 1 && !relay_case->good)
    {
      send_spoilt (connection, relay_case, flight->id);
      return;
    }
  GString *bytes
      = relay_answer (relay_kind (relay_case, flight->arrivals), flight->id,
                      flight->arrivals, last ? atoi (last + 17) : 0);
  if (relay_case->second_at && flight->arrivals > 1)
    sender_start (connection, bytes->str,
                  MIN (bytes->len, relay_case->second_at), 0, ENDING_CLOSE);
  else
    connection_write (connection, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
}

static const char *
name_of (int i, const char *const *names)
{
  return names[i];
}

static void
print_fault (const flight_t *flight, const byte_view_t *view,
             const char *fault)
{
  static const char *const kinds[N_ANSWERS]
      = { "length",         "length, not run", "chunks",       "open",
          "stream, length", "stream, chunks",  "stream, open", "stream, tail",
          "refusal",        "failure",         "no stamp",     "foreign id" };
  static const char *const spoils[N_SPOILS]
      = { "none", "cut", "rubbish", "rubbish after", "second answer" };
  static const char *const endings[N_ENDINGS]
      = { "FIN", "reset", "silence", "FIN and reset", "FIN, then reset" };
  const relay_case_t *relay_case = &flight->relay_case;
  print_message ("%s: route %s, %s, %s at %zu, then %s, in pieces of %zu, "
                 "then %s (%zu); %d attempts, status %d, %zu bytes\n",
                 fault, routes[relay_case->route].prefix,
                 name_of (relay_case->kind, kinds),
                 name_of (relay_case->spoil, spoils), relay_case->at,
                 name_of (relay_case->ending, endings), relay_case->piece,
                 name_of (relay_case->second, kinds), relay_case->second_at,
                 flight->arrivals, view->status, view->body->len);
}

static void start_more (fixture_t *fixture);

static void
on_ended (void *data, const byte_view_t *view)
{
  flight_t *flight = data;
  fixture_t *fixture = flight->fixture;
  const char *fault
      = relay_check (&flight->relay_case, view, flight->id, flight->arrivals);
  if (fault)
    print_fault (flight, view, fault);
  fixture->n_faults += fault != NULL;
  fixture->last_status = view->status;
  if (!flight->relay_case.good)
    {
      fixture->n_reached += flight->arrivals > 0;
      fixture->n_second += flight->arrivals > 1;
    }
  g_hash_table_remove (fixture->flights, flight->id);
  fixture->n_ended++;
  start_more (fixture);
}

static void
start_flight (fixture_t *fixture, const relay_case_t *relay_case)
{
  static const byte_caller_t caller
      = { .version = "1.1", .deadline_ms = 1000, .limit_s = LIMIT_S };
  flight_t *flight = g_new0 (flight_t, 1);
  flight->fixture = fixture;
  flight->relay_case = *relay_case;
  char target[32];
  g_snprintf (flight->id, sizeof flight->id, "%016x", ++fixture->n_started);
  g_snprintf (target, sizeof target, "%sx%d",
              routes[flight->relay_case.route].prefix, fixture->n_started);
  g_hash_table_insert (fixture->flights, flight->id, flight);
  byte_call_start (fixture->loop, fixture->daemon.address, target, flight->id,
                   &caller, on_ended, flight);
}

static int
pick (fixture_t *fixture, int n)
{
  return g_rand_int_range (fixture->random, 0, n);
}

static relay_case_t
pick_case (fixture_t *fixture)
{
  static const size_t pieces[] = { 0, 1, 7, 100 };
  static const answer_kind_t plain[]
      = { ANSWER_LENGTH,  ANSWER_NOT_RUN, ANSWER_CHUNKS,    ANSWER_OPEN,
          ANSWER_REFUSAL, ANSWER_FAILURE, ANSWER_UNSTAMPED, ANSWER_FOREIGN };
  static const answer_kind_t streams[]
      = { ANSWER_STREAM_LENGTH, ANSWER_STREAM_CHUNKS, ANSWER_STREAM_OPEN,
          ANSWER_STREAM_TAIL,   ANSWER_REFUSAL,       ANSWER_FAILURE,
          ANSWER_UNSTAMPED,     ANSWER_FOREIGN };
  relay_case_t relay_case
      = { .route = (route_kind_t)pick (fixture, ROUTE_TWIN),
          .spoil = (spoil_t)pick (fixture, N_SPOILS),
          .ending = (ending_t)pick (fixture, ENDING_CLOSE_RESET),
          .piece = pieces[pick (fixture, G_N_ELEMENTS (pieces))] };
  static const answer_kind_t seconds[]
      = { ANSWER_LENGTH,  ANSWER_LENGTH,  ANSWER_LENGTH,
          ANSWER_REFUSAL, ANSWER_FAILURE, ANSWER_UNSTAMPED };
  bool stream = relay_case.route >= ROUTE_STREAM;
  relay_case.second = seconds[pick (fixture, G_N_ELEMENTS (seconds))];
  relay_case.second_at = pick (fixture, 2) ? (size_t)pick (fixture, 200) : 0;
  relay_case.kind = stream ? streams[pick (fixture, G_N_ELEMENTS (streams))]
                           : plain[pick (fixture, G_N_ELEMENTS (plain))];
  GString *bytes = relay_answer (relay_case.kind, "0123456789abcdef", 1, 0);
  /* Rubbish that makes up for the missing bytes is the server's body.  */
  size_t spare = relay_case.spoil == SPOIL_RUBBISH ? sizeof RUBBISH : 0;
  relay_case.at = (size_t)pick (fixture, (int)(bytes->len - spare));
  g_string_free (bytes, TRUE);
  return relay_case;
}

static void
start_more (fixture_t *fixture)
{
  while (g_hash_table_size (fixture->flights) < MAX_AT_ONCE
         && fixture->n_started < fixture->n_cases * (1 + N_GOOD))
    {
      bool good = fixture->n_started % (1 + N_GOOD) != N_GOOD;
      relay_case_t relay_case = good ? good_case : pick_case (fixture);
      start_flight (fixture, &relay_case);
    }
}

static void
put_server (fixture_t *fixture, const char *service, int i,
            const char *address)
{
  char key[8];
  g_snprintf (key, sizeof key, "%c%d", *service, i);
  char *text = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":64,\"state\":\"ready\",\"seq\":1,\"born\":1}",
      service, address);
  fake_store_put (fixture->store, "servers", key, text);
  g_free (text);
}

static void
put_tables (fixture_t *fixture)
{
  GString *text = g_string_new ("{\"version\":1,\"services\":[{\"name\":"
                                "\"desk\"},{\"name\":\"twin\"}],"
                                "\"tenants\":[],\"routes\":[");
  for (int i = 0; i < N_ROUTES; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"r%d\",\"hostname\":\"h.example\",\"path_prefix\":"
        "\"%s\",\"backend\":\"%s\",%s,\"max_attempts\":2,"
        "\"timeout_ms\":2000}",
        i ? "," : "", i, routes[i].prefix, i == ROUTE_TWIN ? "twin" : "desk",
        routes[i].settings);
  g_string_append (text, "]}");
  fake_store_put (fixture->store, "op", "config", text->str);
  g_string_free (text, TRUE);
  for (int i = 0; i < N_SERVERS; i++)
    put_server (fixture, "desk", i, fixture->servers[i]->address);
  for (int i = 0; i < 2; i++)
    put_server (fixture, "twin", i, fixture->twin->address);
}

static void
start_daemon (fixture_t *fixture)
{
  char *text = g_strdup_printf (
      "[instance]\nid = \"i1\"\ndata_centre = \"c\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = 2000\n"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\nretry_share = 0.2\n",
      fake_store_address (fixture->store));
  fixture->directory = g_dir_make_tmp ("kwf-relay-XXXXXX", NULL);
  fixture->settings = g_build_filename (fixture->directory, "s.toml", NULL);
  assert_true (g_file_set_contents (fixture->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", fixture->settings, NULL };
  assert_true (process_start (&fixture->daemon, "knapweedforkd", args));
  /* Other addresses follow on the same line.  */
  fixture->daemon.address[strcspn (fixture->daemon.address, ",")] = '\0';
}

static int
set_up (void **state)
{
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->store = fake_store_start (fixture->loop);
  fixture->flights
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  for (int i = 0; i < N_SERVERS; i++)
    fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
  fixture->twin = listener_start (fixture->loop, serve_twin, fixture);
  put_tables (fixture);
  start_daemon (fixture);
  for (int i = 0; i < 100 && fixture->last_status != 200; i++)
    {
      int ended = fixture->n_ended;
      run_for (fixture->loop, 0.1);
      start_flight (fixture, &good_case);
      run_until (fixture->loop, &fixture->n_ended, ended + 1, 3);
    }
  assert_int_equal (fixture->last_status, 200);
  fixture->n_started = 0;
  fixture->n_ended = 0;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  process_kill (&fixture->daemon);
  run_for (fixture->loop, 0.05);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->servers[i]);
  listener_stop (fixture->twin);
  fake_store_stop (fixture->store);
  ev_loop_destroy (fixture->loop);
  g_hash_table_destroy (fixture->flights);
  g_unlink (fixture->settings);
  g_rmdir (fixture->directory);
  g_free (fixture->settings);
  g_free (fixture->directory);
  if (fixture->random)
    g_rand_free (fixture->random);
  g_free (fixture);
  return 0;
}

/* Guards against answers that are not whole, or not one server's, and look as
   if they were, and against callers that get nothing.  */
static void
broken_answers_are_visible (void **state)
{
  fixture_t *fixture = *state;
  const char *cases = g_getenv ("KWF_ANSWER_CASES");
  const char *given = g_getenv ("KWF_SEED");
  guint32 seed = given ? (guint32)strtoul (given, NULL, 10) : 1;
  fixture->random = g_rand_new_with_seed (seed);
  fixture->n_cases = cases ? atoi (cases) : N_CASES;
  int wanted = fixture->n_cases * (1 + N_GOOD);
  start_more (fixture);
  bool ended
      = run_until (fixture->loop, &fixture->n_ended, wanted, 60.0 + wanted);
  print_message ("seed %u: %d cases, %d reached a server, %d a second one; "
                 "%d faults\n",
                 seed, fixture->n_cases, fixture->n_reached, fixture->n_second,
                 fixture->n_faults);
  assert_true (ended);
  assert_int_equal (fixture->n_faults, 0);
  /* Otherwise the cases were refused and show nothing.  */
  assert_true (fixture->n_reached > fixture->n_cases * 3 / 4);
}

/* Guards against a late copy of an earlier answer to the same request that is
   taken for the answer to its repeat.  */
static void
repeat_uses_another_connection (void **state)
{
  static const relay_case_t relay_case = { .good = true,
                                           .route = ROUTE_TWIN,
                                           .kind = ANSWER_REFUSAL,
                                           .second = ANSWER_LENGTH };
  fixture_t *fixture = *state;
  for (int i = 0; i < N_REPEATS; i++)
    {
      start_flight (fixture, &relay_case);
      assert_true (
          run_until (fixture->loop, &fixture->n_ended, i + 1, LIMIT_S + 1));
    }
  print_message ("%d repeats, %d on the connection of the first attempt\n",
                 fixture->n_second, fixture->n_reused);
  assert_true (fixture->n_second > 0);
  assert_int_equal (fixture->n_reused, 0);
  assert_int_equal (fixture->n_faults, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (repeat_uses_another_connection, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (broken_answers_are_visible, set_up,
                                     tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
