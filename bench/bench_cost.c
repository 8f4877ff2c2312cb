/* Messages between instances and operations of the table that the guarantees
   cost, counted on the fake fleet: at rest, around the crash of an instance,
   and in a platform outage.

   Usage: bench_cost INSTANCES [PERIODS]

   PERIODS is the length of each phase in renewal periods.  The fake fleet
   keeps all its events in memory, so runs of 420 instances must be short.  */

#include <stdio.h>
#include <stdlib.h>

#include "test/common-fleet-sim.h"

#define RENEW_MS 800
/* The outage queries of more instances take more than 2 GB here.  */
#define OUTAGE_NODES 100

typedef struct
{
  int64_t writes;
  int64_t reads;
  int64_t messages;
} counts_t;

static void
run_until (fleet_sim_t *sim, int64_t until_ns)
{
  while (sim->now_ns < until_ns && fleet_sim_step (sim))
    ;
}

static counts_t
count (fleet_sim_t *sim, int64_t length_ms)
{
  counts_t before = { sim->writes, sim->reads, sim->messages };
  run_until (sim, sim->now_ns + length_ms * FLEET_SIM_MS);
  return (counts_t){ sim->writes - before.writes, sim->reads - before.reads,
                     sim->messages - before.messages };
}

static void
print (const char *what, counts_t counts, int instances, double seconds)
{
  double per = instances * seconds;
  printf ("%-28s %8.2f writes %8.2f reads %10.2f messages\n", what,
          (double)counts.writes / per, (double)counts.reads / per,
          (double)counts.messages / per);
}

int
main (int argc, char **argv)
{
  int n = argc > 1 ? atoi (argv[1]) : 8;
  if (n < 2 || n > FLEET_SIM_INSTANCES)
    {
      fprintf (stderr, "usage: %s INSTANCES (2 to %d)\n", argv[0],
               FLEET_SIM_INSTANCES);
      return 2;
    }
  int periods = argc > 2 ? atoi (argv[2]) : 10;
  int64_t length_ms = (int64_t)periods * RENEW_MS;
  double seconds = (double)length_ms / 1000;
  setvbuf (stdout, NULL, _IOLBF, 0);
  fleet_sim_t *sim = fleet_sim_new (1, n);
  fleet_sim_put_row (sim, "list/plans", "x 10000 20000");
  for (int i = 0; i < n; i++)
    {
      sim->now_ns += 800 * FLEET_SIM_MS / n;
      fleet_sim_start (sim, i);
    }
  run_until (sim, sim->now_ns + 2 * length_ms * FLEET_SIM_MS);
  printf ("%d instances; for each instance and second:\n", n);
  print ("at rest", count (sim, length_ms), n, seconds);
  fleet_sim_crash (sim, n - 1);
  print ("after a crash", count (sim, length_ms), n - 1, seconds);
  fleet_sim_start (sim, n - 1);
  run_until (sim, sim->now_ns + length_ms * FLEET_SIM_MS);
  if (n > OUTAGE_NODES)
    {
      fleet_sim_free (sim);
      return 0;
    }
  sim->outage = true;
  /* The first outage queries are sent 0.6 s after the last answer of the
     platform.  */
  count (sim, 1400);
  print ("outage, 1.4 s to 2.4 s", count (sim, 1000), n, 1);
  fleet_sim_free (sim);
  return 0;
}
