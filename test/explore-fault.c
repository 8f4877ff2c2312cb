/* Faults of a schedule: how they begin and how they end.  */

#include "explore.h"

typedef enum
{
  FAULT_OUTAGE,
  FAULT_PAUSE,
  FAULT_CRASH,
  FAULT_CUT,
  FAULT_APART,
  FAULT_LIMITS,
  FAULT_OPERATORS,
  FAULT_WITHDRAW,
  FAULT_LOSS,
  FAULT_SLOW_TABLE,
  FAULT_SLOW_LINKS,
  FAULT_LATE,
  FAULT_KINDS
} fault_t;

/* The number of an EXPLORE_HEAL event holds the kind of the fault and the
   indices of two instances.  */
#define HEAL_SHIFT 8

static int64_t
heal_number (fault_t fault, int a, int b)
{
  return EXPLORE_HEAL
         | ((int64_t)fault << HEAL_SHIFT | a << (HEAL_SHIFT + 4)
            | b << (HEAL_SHIFT + 8));
}

static void
heal_after (explore_t *explore, fault_t fault, int a, int b, uint64_t max_ms)
{
  fleet_sim_t *sim = explore->sim;
  int64_t wait_ms = 100 + (int64_t)fleet_sim_random_below (sim, max_ms);
  fleet_sim_schedule_call (sim, sim->now_ns + wait_ms * FLEET_SIM_MS, -1,
                           heal_number (fault, a, b));
}

static char *
random_limits (fleet_sim_t *sim)
{
  return g_strdup_printf ("x %d %d y %d %d",
                          (int)(50 + fleet_sim_random_below (sim, 450)),
                          (int)(200 + fleet_sim_random_below (sim, 400)),
                          (int)(50 + fleet_sim_random_below (sim, 450)),
                          (int)(200 + fleet_sim_random_below (sim, 400)));
}

void
fault_start (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  /* A schedule has few kinds of faults, so that two of the same kind often
     coincide.  */
  int kinds = 1 + (int)fleet_sim_random_below (sim, EXPLORE_KINDS);
  for (int i = 0; i < EXPLORE_KINDS; i++)
    explore->kinds[i] = i < kinds
                            ? (int)fleet_sim_random_below (sim, FAULT_KINDS)
                            : explore->kinds[i - kinds];
  char *limits = random_limits (sim);
  fleet_sim_put_row (sim, "list/plans", limits);
  g_free (limits);
}

static void
write_row (explore_t *explore, int at, const char *key, int64_t version,
           const char *value)
{
  fleet_sim_t *sim = explore->sim;
  fleet_sim_instance_t *node = &sim->instances[at];
  explore_write_t *write = &explore->writes[at];
  if (!node->alive || node->paused || write->op
      || !session_may_act (node->session))
    return;
  session_set_write_pending (node->session, true);
  *write = (explore_write_t){ .incarnation = node->incarnation,
                              .sent_ns = sim->now_ns };
  g_strlcpy (write->key, key, sizeof write->key);
  g_strlcpy (write->value, value, sizeof write->value);
  write->op = fleet_sim_send_write (sim, at, key, version, value);
  fleet_sim_log (sim, "%s writes %s %s", node->name, key, value);
}

void
fault_write_done (fleet_sim_t *sim, int at, kwf_handle_t op,
                  const kwf_store_reply_t *reply)
{
  explore_t *explore = sim->data;
  explore_write_t *write = &explore->writes[at];
  if (write->op != op)
    return;
  write->answered = reply->outcome != KWF_STORE_UNKNOWN;
  if (reply->outcome != KWF_STORE_COMMITTED)
    return;
  write->revision = reply->revision;
  kwf_row_t row = { write->key, write->revision, write->value };
  fleet_sim_apply_lists (&sim->instances[at], &row, 1);
  if (sim->without != FLEET_SIM_NO_KEEP)
    session_keep_rows (sim->instances[at].session, &row, 1);
}

/* A write is pending until its outcome is known, or until it can no longer
   take effect.  */
void
fault_close_writes (explore_t *explore, int at)
{
  const fleet_sim_t *sim = explore->sim;
  const fleet_sim_instance_t *node = &sim->instances[at];
  explore_write_t *write = &explore->writes[at];
  bool over = sim->now_ns - write->sent_ns > 8 * FLEET_SIM_S;
  bool known = session_revision (node->session) >= sim->revision;
  if (!write->op || (!write->answered && (!over || !known)))
    return;
  session_set_write_pending (node->session, false);
  write->op = 0;
}

static void
change_limits (explore_t *explore, int writers)
{
  fleet_sim_t *sim = explore->sim;
  int64_t version = fleet_sim_get_row (sim, "list/plans")->version;
  for (int i = 0; i < writers; i++)
    {
      char *limits = random_limits (sim);
      write_row (explore,
                 (int)fleet_sim_random_below (sim, (uint64_t)sim->n_instances),
                 "list/plans", version, limits);
      g_free (limits);
    }
}

static void
withdraw_key (explore_t *explore, int at)
{
  char key[16];
  snprintf (key, sizeof key, "key/%d",
            (int)fleet_sim_random_below (explore->sim, EXPLORE_KEYS));
  write_row (explore, at, key, -1, "withdrawn");
}

static void
begin_outage (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  if (sim->outage)
    return;
  fleet_sim_log (sim, "outage");
  sim->refuse = fleet_sim_random_below (sim, 2);
  explore->outage_ns = sim->now_ns;
  explore->outage_clean = explore_all_may_act (explore)
                          && sim->table_max_ns <= 20 * FLEET_SIM_MS
                          && !sim->lose_before;
  for (int i = 0; i < sim->n_instances; i++)
    if (sim->instances[i].apart)
      explore->outage_clean = false;
  sim->outage = true;
}

static void
inject (explore_t *explore, fault_t fault, int a, int b)
{
  fleet_sim_t *sim = explore->sim;
  switch (fault)
    {
    case FAULT_OUTAGE:
      begin_outage (explore);
      heal_after (explore, fault, 0, 0, 7000);
      break;
    case FAULT_PAUSE:
      fleet_sim_pause (sim, a);
      heal_after (explore, fault, a, 0, 6000);
      break;
    case FAULT_CRASH:
      /* Do not crash an instance with an unknown or unread write: the write
         could take effect without any instance knowing of it.  The push of
         withdrawals covers that case.  */
      if (explore->writes[a].op
          || (sim->instances[a].alive
              && explore->writes[a].revision
                     > session_revision (sim->instances[a].session)))
        break;
      fleet_sim_crash (sim, a);
      heal_after (explore, fault, a, 0, 4000);
      break;
    case FAULT_CUT:
      if (a != b)
        fleet_sim_set_cut (sim, a, b, true);
      heal_after (explore, fault, a, b, 5000);
      break;
    case FAULT_APART:
      fleet_sim_log (sim, "i%d is apart from the table", a);
      sim->instances[a].apart = true;
      heal_after (explore, fault, a, 0, 6000);
      break;
    case FAULT_LIMITS:
      change_limits (explore, 1);
      break;
    case FAULT_OPERATORS:
      change_limits (explore, 2);
      break;
    case FAULT_WITHDRAW:
      withdraw_key (explore, a);
      break;
    case FAULT_LOSS:
      sim->lose_before = 0.2;
      sim->lose_after = 0.3;
      heal_after (explore, fault, 0, 0, 4000);
      break;
    case FAULT_SLOW_TABLE:
      sim->table_max_ns
          = (100 + (int64_t)fleet_sim_random_below (sim, 1500)) * FLEET_SIM_MS;
      heal_after (explore, fault, 0, 0, 4000);
      break;
    case FAULT_SLOW_LINKS:
      sim->link_max_ns
          = (20 + (int64_t)fleet_sim_random_below (sim, 500)) * FLEET_SIM_MS;
      heal_after (explore, fault, 0, 0, 3000);
      break;
    case FAULT_LATE:
      sim->late = 0.2;
      sim->duplicate = 0.3;
      heal_after (explore, fault, 0, 0, 4000);
      break;
    default:
      break;
    }
}

void
fault_inject (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  uint64_t n = (uint64_t)sim->n_instances;
  fault_t fault
      = (fault_t)explore->kinds[fleet_sim_random_below (sim, EXPLORE_KINDS)];
  int a = (int)fleet_sim_random_below (sim, n);
  int b = (int)fleet_sim_random_below (sim, n);
  if (fault != FAULT_OUTAGE)
    explore->disturbed_ns = sim->now_ns;
  inject (explore, fault, a, b);
}

void
fault_heal (explore_t *explore, int64_t number)
{
  fleet_sim_t *sim = explore->sim;
  fault_t fault = (fault_t)(number >> HEAL_SHIFT & 15);
  int a = (int)(number >> (HEAL_SHIFT + 4) & 15);
  int b = (int)(number >> (HEAL_SHIFT + 8) & 15);
  if (fault != FAULT_OUTAGE || sim->outage)
    explore->disturbed_ns = sim->now_ns;
  switch (fault)
    {
    case FAULT_OUTAGE:
      fleet_sim_log (sim, "the outage is over");
      sim->outage = false;
      break;
    case FAULT_PAUSE:
      fleet_sim_resume (sim, a);
      break;
    case FAULT_CRASH:
      if (!sim->instances[a].alive)
        fleet_sim_start (sim, a);
      break;
    case FAULT_CUT:
      fleet_sim_set_cut (sim, a, b, false);
      break;
    case FAULT_APART:
      sim->instances[a].apart = false;
      break;
    case FAULT_LOSS:
      sim->lose_before = sim->lose_after = 0;
      break;
    case FAULT_SLOW_TABLE:
      sim->table_max_ns = 10 * FLEET_SIM_MS;
      break;
    case FAULT_SLOW_LINKS:
      sim->link_max_ns = 6 * FLEET_SIM_MS;
      break;
    case FAULT_LATE:
      sim->late = sim->duplicate = 0;
      break;
    default:
      break;
    }
}

void
fault_heal_all (explore_t *explore)
{
  fleet_sim_t *sim = explore->sim;
  for (int fault = 0; fault < FAULT_KINDS; fault++)
    for (int a = 0; a < sim->n_instances; a++)
      for (int b = 0; b < sim->n_instances; b++)
        {
          bool pair = fault == FAULT_CUT;
          bool single = pair || fault == FAULT_PAUSE || fault == FAULT_CRASH
                        || fault == FAULT_APART;
          if ((!pair && b) || (!single && a) || (pair && !sim->cut[a][b]))
            continue;
          fault_heal (explore, heal_number ((fault_t)fault, a, b));
        }
}
