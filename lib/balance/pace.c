#include "pace.h"

/* A spell lasts some 600 ms, so a report says little after a second.  */
#define PACE_AGE_MAX_NS (1 * KWF_NS_PER_S)
/* Factors beyond these are taken for these.  */
#define PACE_MIN 0.1
#define PACE_MAX 20.0

bool
server_reports_pace (const server_t *server)
{
  return server->pace > 0;
}

void
server_set_pace (server_t *server, int pace, int64_t now_ns)
{
  if (pace <= 0)
    return;
  server->pace = pace;
  server->pace_ns = now_ns;
  server->pace_heard = false;
}

void
pace_set_heard (server_t *server, int pace, int64_t then_ns)
{
  if (pace <= 0 || (server->pace > 0 && then_ns <= server->pace_ns))
    return;
  server->pace = pace;
  server->pace_ns = then_ns;
  server->pace_heard = true;
}

double
pace_weight (const server_t *server, int64_t now_ns)
{
  if (!server_reports_pace (server))
    return 0;
  double age = (double)(now_ns - server->pace_ns) / (double)PACE_AGE_MAX_NS;
  return CLAMP (1 - age, 0, 1);
}

double
pace_reported (const server_t *server)
{
  return CLAMP (server->pace / 100.0, PACE_MIN, PACE_MAX);
}

bool
pace_is_expected (const server_t *server)
{
  return !server->contended || !server->usual || server->usual->paced;
}

double
pace_factor (const server_t *server, int64_t now_ns)
{
  if (!pace_is_expected (server))
    return 1;
  double weight = pace_weight (server, now_ns);
  double unknown = 1 + PACE_SHARED_PART * (PACE_SHARED - 1);
  return weight > 0 ? weight * pace_reported (server) + (1 - weight) * unknown
                    : unknown;
}
