#include "delay.h"

#include <math.h>

#include "pace.h"

/* Times that hold until they are measured: those of docs/hard-load.md section
   2.  */
#define FIRST_GAP_NS (42.0 * (double)KWF_NS_PER_MS)
#define FIRST_WORK_NS (30.0 * (double)KWF_NS_PER_MS)

/* Each running request makes a step longer by this part.  */
#define STEP_PART_PER_REQUEST 0.0007
/* Loading an adapter.  */
#define ADAPTER_LOAD_NS (300 * KWF_NS_PER_MS)
/* Round trip to another data centre.  */
#define OTHER_CENTRE_NS (5 * KWF_NS_PER_MS)
/* A new connection: two round trips, and work at the server.  It is less than
   the time to read a short prompt, so that load outweighs it.  */
#define CONNECT_COST_NS (20 * KWF_NS_PER_MS)
/* Added for a server that does not answer load reports: it is the last choice.
 */
#define SILENT_NS (600 * KWF_NS_PER_S)
/* Part of the prompt tokens of other instances that is still to be read: their
   counts are some 200 ms old, and most prompts are read in half of that.  */
#define OTHERS_LEFT 0.3
/* Pauses count from this part of the accepted pause on, since the estimate is
   off by a third or so.  */
#define PAUSE_PART 0.7

int
delay_open_requests (const server_t *server)
{
  return server->others_known ? server->others_open + server->open_attempts
                              : server_load (server);
}

/* Means of the service of SERVER.  */
static usual_t
usual_of (const server_t *server)
{
  usual_t usual;
  usual_init (&usual);
  return server->usual ? *server->usual : usual;
}

double
delay_reading_tokens (const server_t *server)
{
  /* Instances of an older build send no tokens.  */
  double others
      = server->others_reading_tokens > 0
            ? (double)server->others_reading_tokens
            : server->others_unanswered * usual_of (server).prompt_tokens;
  return (double)server->reading_tokens + OTHERS_LEFT * others;
}

double
delay_slowness (const server_t *server)
{
  return speed_slowness (server->speed.sum + server->others_speed.sum,
                         server->speed.weight + server->others_speed.weight,
                         server->usual);
}

double
delay_usual_gap_ns (const server_t *server)
{
  return server->usual && server->usual->log_ns > 0
             ? exp (server->usual->log_ns)
             : FIRST_GAP_NS;
}

/* Time until one of the slots of SERVER is free for a request, at its usual
   speed.  */
static double
slot_wait_ns (const server_t *server, double hold_ns)
{
  int excess = delay_open_requests (server) + 1 - server->slots;
  return server->slots > 0 && excess > 0 ? excess * hold_ns / server->slots
                                         : 0;
}

static int64_t
way_ns (const server_t *server, const delay_query_t *query, int64_t now_ns)
{
  int64_t sum = 0;
  if (query->adapter
      && !server_holds_adapter (server, query->model, query->adapter))
    sum += ADAPTER_LOAD_NS;
  if (g_strcmp0 (server->data_centre, query->data_centre) != 0)
    sum += OTHER_CENTRE_NS;
  if (now_ns >= server->kept_until_ns)
    sum += CONNECT_COST_NS;
  if (server_silent (server))
    sum += SILENT_NS;
  return sum;
}

/* What a pause of PAUSE_NS costs the streams of SERVER and the new one.  */
static double
late_cost_ns (const server_t *server, double pause_ns, double aim_ns)
{
  double excess_ns = pause_ns - aim_ns * PAUSE_PART;
  int n_streams = MIN (delay_open_requests (server), MAX (server->slots, 1));
  return aim_ns > 0 && excess_ns > 0 ? excess_ns * (1 + n_streams) : 0;
}

/* The same, expected over what the pace may be.  PAUSE_NS: at a pace of 100.
 */
static double
expected_late_cost_ns (const server_t *server, double pause_ns, double aim_ns,
                       int64_t now_ns)
{
  if (!pace_is_expected (server))
    return late_cost_ns (server, pause_ns, aim_ns);
  double known = pace_weight (server, now_ns);
  double reported
      = late_cost_ns (server, pause_ns * pace_reported (server), aim_ns);
  double usual = late_cost_ns (server, pause_ns, aim_ns);
  double shared = late_cost_ns (server, pause_ns * PACE_SHARED, aim_ns);
  return known * reported
         + (1 - known)
               * ((1 - PACE_SHARED_PART) * usual + PACE_SHARED_PART * shared);
}

static delay_estimate_t
estimate_engine (const server_t *server, const delay_query_t *query,
                 int64_t now_ns)
{
  usual_t usual = usual_of (server);
  double slowness = delay_slowness (server);
  int open = delay_open_requests (server);
  double gap_ns
      = delay_usual_gap_ns (server) * (1 + STEP_PART_PER_REQUEST * open);
  double read_ns
      = (delay_reading_tokens (server) + (double)query->prompt_tokens)
        * usual.token_ns;
  double pause_ns = (gap_ns + read_ns) * slowness;
  double pace = pace_factor (server, now_ns);
  int64_t aim_ns
      = query->gap_aim_ns > 0 ? query->gap_aim_ns : usual.gap_aim_ns;
  return (delay_estimate_t){
    .first_event_ns
    = (int64_t)((pause_ns + slot_wait_ns (server, usual.hold_ns) * slowness)
                * pace)
      + way_ns (server, query, now_ns),
    .pause_ns = (int64_t)(pause_ns * pace),
    .late_cost_ns
    = (int64_t)expected_late_cost_ns (server, pause_ns, (double)aim_ns, now_ns)
  };
}

static delay_estimate_t
estimate_plain (const server_t *server, const delay_query_t *query,
                int64_t now_ns)
{
  const usual_t *usual = server->usual;
  double work_ns
      = usual && usual->log_ns > 0 ? exp (usual->log_ns) : FIRST_WORK_NS;
  double time_ns = (work_ns + slot_wait_ns (server, work_ns))
                   * delay_slowness (server) * pace_factor (server, now_ns);
  return (delay_estimate_t){
    .first_event_ns = (int64_t)time_ns + way_ns (server, query, now_ns)
  };
}

delay_estimate_t
delay_estimate (const server_t *server, const delay_query_t *query,
                int64_t now_ns)
{
  return server->kind == KWF_MEMBER_ENGINE
             ? estimate_engine (server, query, now_ns)
             : estimate_plain (server, query, now_ns);
}

double
delay_cost_ns (const delay_estimate_t *estimate)
{
  return (double)estimate->first_event_ns + (double)estimate->late_cost_ns;
}
