/* The ends of servers' answers through the daemon: what leaves is never more
   certain than what came, what came whole arrives whole, and each answer that
   begins has an end.

   KWF_END_STRIDE=N runs every Nth case of those that end inside the body, and
   HEAD_PART times fewer of those that end inside the head; 1: each case.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include "answer_ends.h"
#include "common-daemon.h"

#define N_SERVERS 16
#define MAX_AT_ONCE 64
/* Calls with whole answers after each case, so that servers count as healthy.
 */
#define N_GOOD 4
/* A prime, so that each value of each dimension occurs.  */
#define DEFAULT_STRIDE 17
#define HEAD_PART 13
/* Cases that no server got, because too many servers had failed, are run
   again.  */
#define MAX_TRIES 8
#define MAX_PRINTED 20
#define DEADLINE_MS 5000
/* Of cases that last until it.  */
#define SILENT_DEADLINE_MS 1000
/* An answer must have ended this long after its deadline; on a busy machine,
   this test and the daemon may wait for a processor.  */
#define GRACE_S 3.0
#define RUN_LIMIT_S 600.0

static const byte_caller_t callers[N_CALLERS] = {
  [CALLER_KEEPS] = { .version = "1.1" },
  [CALLER_CLOSES] = { .version = "1.1", .connection = "close" },
  [CALLER_OLD] = { .version = "1.0" },
  [CALLER_OLD_KEEPS] = { .version = "1.0", .connection = "keep-alive" },
};

typedef struct fixture fixture_t;

/* A call under way.  */
typedef struct
{
  fixture_t *fixture;
  end_case_t end_case;
  bool good; /* a call between the cases, for the servers' health */
  int tries;
  int arrivals;
  bool next; /* a run after that of the case was whole */
  char id[24];
} flight_t;

struct fixture
{
  struct ev_loop *loop;
  test_daemon_t daemon;
  listener_t *servers[N_SERVERS];
  GHashTable *flights; /* by id */
  GArray *cases;       /* of end_case_t */
  GPtrArray *again;    /* of flight_t: to be run once more */
  guint next_case;
  int n_started;
  int n_wanted;
  int n_judged;
  int n_skipped;
  int n_next; /* judged, and a run after that of the case was whole */
  int n_faults;
  int n_seen[N_CERTAIN];
  int last_status;
  int n_good;
  bool stopped; /* starts no more calls */
};

static flight_t *
find_flight (const fixture_t *fixture, const char *request)
{
  char id[24] = "";
  const char *at = strcasestr (request, "\r\nx-request-id: ");
  g_strlcpy (id, at ? at + 16 : "", sizeof id);
  id[strcspn (id, "\r")] = '\0';
  return g_hash_table_lookup (fixture->flights, id);
}

static void
send_whole (connection_t *connection, const flight_t *flight, int last)
{
  end_case_t whole
      = { .route = flight->end_case.route, .framing = FRAMED_CHUNKS };
  GString *bytes = end_answer (&whole, flight->id, last);
  connection_write (connection, bytes->str, bytes->len);
  g_string_free (bytes, TRUE);
}

static void
send_case (connection_t *connection, const flight_t *flight, int last)
{
  const end_case_t *end_case = &flight->end_case;
  GString *bytes = end_answer (end_case, flight->id, last);
  sender_start (connection, bytes->str, MIN (end_case->at, bytes->len), 0,
                end_case->ending);
  g_string_free (bytes, TRUE);
}

/* The number of the run that the flight is in: 0 before that of the case, 1
   that of the case, more after it.  */
static int
run_of (const flight_t *flight)
{
  return flight->arrivals - (flight->end_case.before != BEFORE_NONE ? 1 : 0);
}

static void
serve (connection_t *connection, const char *request, void *data)
{
  flight_t *flight = find_flight (data, request);
  const char *resume = strcasestr (request, "\r\nlast-event-id: ");
  int last = resume ? atoi (resume + 17) : 0;
  if (!flight)
    {
      connection_close (connection);
      return;
    }
  flight->arrivals++;
  if (flight->good)
    send_whole (connection, flight, last);
  else if (run_of (flight) == 0)
    {
      GString *bytes = end_before (&flight->end_case, flight->id);
      sender_start (connection, bytes->str, bytes->len, 0, ENDING_CLOSE);
      g_string_free (bytes, TRUE);
    }
  else if (run_of (flight) == 1)
    send_case (connection, flight, last);
  else if (flight->end_case.next_whole)
    {
      flight->next = true;
      send_whole (connection, flight, last);
    }
  else
    connection_print (connection,
                      "HTTP/1.1 503 Busy\r\nX-Request-Id: %s\r\n"
                      "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
                      flight->id);
}

static void start_more (fixture_t *fixture);

static void
judge (flight_t *flight, const byte_view_t *view)
{
  fixture_t *fixture = flight->fixture;
  certain_t seen;
  const char *fault = end_check (&flight->end_case, view, flight->next, &seen);
  fixture->n_judged++;
  fixture->n_next += flight->next;
  fixture->n_seen[seen]++;
  fixture->n_faults += fault != NULL;
  if (!fault || fixture->n_faults > MAX_PRINTED)
    return;
  char *text = end_describe (&flight->end_case);
  print_message ("%s: %s; %d arrivals, next %d, status %d, body %s\n", fault,
                 text, flight->arrivals, flight->next, view->status,
                 view->body->str);
  g_free (text);
}

static void
on_ended (void *data, const byte_view_t *view)
{
  flight_t *flight = data;
  fixture_t *fixture = flight->fixture;
  g_hash_table_steal (fixture->flights, flight->id);
  fixture->last_status = view->status;
  bool reached = run_of (flight) > 0;
  if (flight->good)
    fixture->n_good++;
  else if (reached || flight->tries >= MAX_TRIES)
    {
      if (reached)
        judge (flight, view);
      else
        fixture->n_skipped++;
      fixture->n_wanted--;
    }
  else
    {
      g_ptr_array_add (fixture->again, flight);
      flight = NULL;
    }
  g_free (flight);
  start_more (fixture);
}

static void
start_flight (fixture_t *fixture, flight_t *flight)
{
  static const char *const prefixes[N_ROUTES]
      = { "/stream/", "/draft/", "/book/", "/read/" };
  byte_caller_t caller = callers[flight->end_case.caller];
  char target[32];
  flight->fixture = fixture;
  flight->tries++;
  flight->arrivals = 0;
  flight->next = false;
  g_snprintf (flight->id, sizeof flight->id, "%016x", ++fixture->n_started);
  g_snprintf (target, sizeof target, "%sx%d", prefixes[flight->end_case.route],
              fixture->n_started);
  g_hash_table_insert (fixture->flights, flight->id, flight);
  bool silent = !flight->good && flight->end_case.ending == ENDING_SILENCE;
  caller.deadline_ms = silent ? SILENT_DEADLINE_MS : DEADLINE_MS;
  caller.limit_s = caller.deadline_ms / 1000.0 + GRACE_S;
  byte_call_start (fixture->loop, fixture->daemon.process.address, target,
                   flight->id, &caller, on_ended, flight);
}

static void
start_good (fixture_t *fixture)
{
  flight_t *flight = g_new0 (flight_t, 1);
  flight->good = true;
  flight->end_case.route = ROUTE_REPEATABLE;
  start_flight (fixture, flight);
}

/* Starts the next case; false: there is none.  */
static bool
start_case (fixture_t *fixture)
{
  if (fixture->next_case < fixture->cases->len)
    {
      flight_t *flight = g_new0 (flight_t, 1);
      flight->end_case
          = g_array_index (fixture->cases, end_case_t, fixture->next_case++);
      start_flight (fixture, flight);
      return true;
    }
  if (!fixture->again->len)
    return false;
  start_flight (fixture, g_ptr_array_steal_index (fixture->again, 0));
  return true;
}

static void
start_more (fixture_t *fixture)
{
  while (!fixture->stopped
         && g_hash_table_size (fixture->flights) < MAX_AT_ONCE
         && start_case (fixture))
    for (int i = 0; i < N_GOOD; i++)
      start_good (fixture);
}

/* Moves every STRIDE-th case of FROM to CASES.  */
static void
choose (GArray *cases, GArray *from, guint stride)
{
  for (guint i = 0; i < from->len; i += stride)
    g_array_append_val (cases, g_array_index (from, end_case_t, i));
  g_array_free (from, TRUE);
}

static void
choose_cases (GArray *cases)
{
  const char *text = g_getenv ("KWF_END_STRIDE");
  guint stride = text ? (guint)MAX (atoi (text), 1) : DEFAULT_STRIDE;
  GArray *heads = g_array_new (FALSE, TRUE, sizeof (end_case_t));
  GArray *bodies = g_array_new (FALSE, TRUE, sizeof (end_case_t));
  end_add_cases (heads, bodies);
  choose (cases, bodies, stride);
  choose (cases, heads, stride > 1 ? stride * HEAD_PART : 1);
}

static int
set_up (void **state)
{
#define ROUTE(name, prefix, kind)                                             \
  "{\"name\":\"" name "\",\"hostname\":\"h.example\",\"path_prefix\":"        \
  "\"" prefix "\",\"backend\":\"desk\",\"kind\":" kind                        \
  ",\"max_attempts\":3,\"timeout_ms\":5000}"
  static const char routes[]
      = ROUTE ("s", "/stream/", "\"stream\"") "," ROUTE (
          "d", "/draft/",
          "\"stream\",\"resumable\":true") "," ROUTE ("b", "/book/",
                                                      "\"non_"
                                                      "idempotent"
                                                      "\"") "," ROUTE ("r",
                                                                       "/read"
                                                                       "/",
                                                                       "\"idem"
                                                                       "potent"
                                                                       "\"");
#undef ROUTE
  fixture_t *fixture = g_new0 (fixture_t, 1);
  fixture->loop = ev_loop_new (EVFLAG_AUTO);
  fixture->flights
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  fixture->cases = g_array_new (FALSE, TRUE, sizeof (end_case_t));
  fixture->again = g_ptr_array_new_with_free_func (g_free);
  choose_cases (fixture->cases);
  test_daemon_start_with (
      &fixture->daemon, fixture->loop, routes,
      &(test_daemon_options_t){ .retries
                                = "retry_share = 1.0\nretry_window_s = 1\n"
                                  "retry_slack = 1000000\n" });
  for (int i = 0; i < N_SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "d%d", i);
      fixture->servers[i] = listener_start (fixture->loop, serve, fixture);
      test_daemon_add_server (&fixture->daemon, name,
                              fixture->servers[i]->address);
    }
  fixture->stopped = true;
  for (int i = 0; i < 100 && fixture->last_status != 200; i++)
    {
      int ended = fixture->n_good;
      run_for (fixture->loop, 0.1);
      start_good (fixture);
      run_until (fixture->loop, &fixture->n_good, ended + 1, 5);
    }
  assert_int_equal (fixture->last_status, 200);
  fixture->stopped = false;
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  fixture_t *fixture = *state;
  fixture->stopped = true;
  test_daemon_stop (&fixture->daemon);
  run_for (fixture->loop, 0.1);
  for (int i = 0; i < N_SERVERS; i++)
    listener_stop (fixture->servers[i]);
  ev_loop_destroy (fixture->loop);
  g_hash_table_destroy (fixture->flights);
  g_ptr_array_free (fixture->again, TRUE);
  g_array_free (fixture->cases, TRUE);
  g_free (fixture);
  return 0;
}

/* Guards against an answer that leaves with a last chunk, a length or a
   regular end that its server never gave (issue 33).  */
static void
answer_leaves_more_certain_than_it_came (void **state)
{
  fixture_t *fixture = *state;
  static const int never;
  guint n = fixture->cases->len;
  fixture->n_wanted = (int)n;
  start_more (fixture);
  for (double waited = 0; fixture->n_wanted && waited < RUN_LIMIT_S;
       waited += 0.1)
    run_until (fixture->loop, &never, 1, 0.1);
  print_message ("%u cases, %d judged, %d not reached, %d with a whole run "
                 "after it; %d ended marked, "
                 "%d with the connection, %d visibly broken; %d faults\n",
                 n, fixture->n_judged, fixture->n_skipped, fixture->n_next,
                 fixture->n_seen[CERTAIN_MARKED],
                 fixture->n_seen[CERTAIN_OPEN], fixture->n_seen[CERTAIN_NOT],
                 fixture->n_faults);
  assert_int_equal (fixture->n_wanted, 0);
  assert_int_equal (fixture->n_faults, 0);
  /* Otherwise the cases were refused and show nothing.  */
  assert_true (fixture->n_judged > (int)n * 9 / 10);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (answer_leaves_more_certain_than_it_came,
                                     set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
