/* common-core.h - a kwf_core_t on a fake clock, in the mode in which
   membership and configuration arrive as events.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CORE_H
#define KNAPWEEDFORK_TEST_COMMON_CORE_H

#include <glib.h>
#include <knapweedfork/core.h>

typedef struct
{
  kwf_clock_t clock; /* first member */
  int64_t now_ns;
} core_clock_t;

typedef struct
{
  core_clock_t clock;
  kwf_core_t *core;
  kwf_effects_t *effects;
  int64_t revision; /* of the fake table */
  bool silent;      /* the table sends no replies */
} core_world_t;

/* How long a stopping instance takes requests, and the time limit of a
   stop.  */
#define CORE_WORLD_SERVE_MS 3000
#define CORE_WORLD_STOP_MS 4000

/* Start a core of instance "a" that has a lease, a share and a configuration
   with: organisation "o" (key digest "k", 1,000 tokens/s), service "desk"
   (route /book/ once, /read/ idempotent, two attempts each) and the engine
   service "models" (route /draft/, a resumable stream) with models "m" and
   "n".  */
void core_world_start (core_world_t *world);
/* The same.  UNCHECKED: the engines do not check fencing tokens.  */
void core_world_start_tokens (core_world_t *world, bool unchecked);
/* The same.  Data centre "c" is in region "north", "x" in "south", and
   contact_ns is 4 s.  */
void core_world_start_regions (core_world_t *world);
/* The same.  PREDICTED: requests are admitted by forecast.  */
void core_world_start_admission (core_world_t *world, bool predicted);
/* The same with other limits of a stop.  */
void core_world_start_grace (core_world_t *world, int64_t serve_ms,
                             int64_t limit_ms);
void core_world_stop (core_world_t *world);

/* Feed EVENT; the effects of the step are in world->effects.  Transactions
   commit at once.  */
void core_world_step (core_world_t *world, const kwf_event_t *event);
/* Advance the clock by MS and feed a tick.  */
void core_world_advance (core_world_t *world, int64_t ms);

/* Feed a row of the table, sent by instance "b".  */
void core_world_row (core_world_t *world, const char *key, const char *value);

/* Feed a membership list with the services "d1" and "d2" and the engines "e1"
   and "e2" that hold model "m".  */
void core_world_servers (core_world_t *world);
/* The same entries, written again: their revisions are higher by REVISION.  */
void core_world_servers_at (core_world_t *world, int64_t revision);

/* Feed request HANDLE to PATH with the key; MODEL NULL: none.  */
void core_world_request (core_world_t *world, kwf_handle_t handle,
                         const char *path, const char *model);

/* Feed the message of instance "b" that engine "e1" loads MODEL, or holds its
   ADAPTER ("": none); not PRESENT: that it unloads it.  */
void core_world_feed_residency (core_world_t *world, const char *model,
                                const char *adapter, bool present);

/* Fixtures of cmocka: a world with the configuration, and a world that has the
   servers too.  */
int core_world_setup (void **state);
int core_world_setup_servers (void **state);
/* With the servers, whose engines do not check fencing tokens.  */
int core_world_setup_unchecked (void **state);
int core_world_teardown (void **state);

/* The first effect of TYPE in the last step; NULL: none.  */
const kwf_effect_t *core_world_effect (const core_world_t *world,
                                       kwf_effect_type_t type);

#endif
