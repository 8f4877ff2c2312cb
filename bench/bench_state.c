/* Memory and processor time of the core as the fleet grows.

   A core on a fake clock is given lists, keys, members and backend servers of
   several sizes.  Reported are the bytes of memory for one more of each, and
   the processor time of the control work (renewals, membership, load reports)
   in one second without requests, by the number of members and servers.

   Usage: bench_state [--quick|--full] */

#include <glib.h>
#include <malloc.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <knapweedfork/core.h>

#include "lib/op.h"
#include "standin/common-world.h"

typedef struct
{
  int organisations;
  int keys;
  int models;
  int servers;
  int members;
  bool placement; /* dynamic placement; as the only member this instance is the
                     leader */
} sizes_t;

typedef struct
{
  kwf_clock_t clock;
  int64_t now_ns;
} fake_clock_t;

typedef struct
{
  kwf_random_t random;
  uint64_t state;
} fake_random_t;

typedef struct
{
  sizes_t sizes;
  fake_clock_t clock;
  fake_random_t random;
  kwf_core_t *core;
  int64_t tick_ns;
  int64_t revision;
  bool loaded; /* the configuration rows were returned to the core */
  int64_t next_renewal_ns; /* time of the other members' next renewal */
  GArray *rows;            /* of kwf_row_t, for the next answer */
  GPtrArray *texts;        /* strings of the rows */
  GPtrArray *pending;      /* of kwf_handle_t *, transactions to be answered */
  GPtrArray *probes;       /* of char *, servers whose load reports are due */
  bool members_asked;
  char *shares; /* value for the row "shares" in the next answer; NULL: none */
} bench_t;

typedef struct
{
  double bytes;
  double cpu_us_per_s;
} cost_t;

static struct timespec
fake_now (const kwf_clock_t *clock)
{
  int64_t now = ((const fake_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now / KWF_NS_PER_S,
                            .tv_nsec = now % KWF_NS_PER_S };
}

static void
fake_fill (kwf_random_t *random, void *buffer, size_t size)
{
  fake_random_t *own = (fake_random_t *)random;
  unsigned char *bytes = buffer;
  for (size_t i = 0; i < size; i++)
    {
      own->state
          = own->state * UINT64_C (6364136223846793005) + 1442695040888963407U;
      bytes[i] = (unsigned char)(own->state >> 56);
    }
}

static char *
keep_text (bench_t *world, char *text)
{
  g_ptr_array_add (world->texts, text);
  return text;
}

static void
add_row (bench_t *world, char *key, char *value)
{
  kwf_row_t print_row = { .key = keep_text (world, key),
                          .version = world->revision,
                          .value = keep_text (world, value) };
  g_array_append_val (world->rows, print_row);
}

/* TEXT as a JSON string, as the lists are stored in a row.  */
static char *
list_value (const GString *text)
{
  char *escaped = g_strescape (text->str, NULL);
  char *value = g_strdup_printf (
      "{\"text\":\"%s\",\"apply_id\":\"0123456789abcdef\"}", escaped);
  g_free (escaped);
  return value;
}

static void
add_config_rows (bench_t *world)
{
  GString *plans = g_string_new (NULL);
  GString *uses = g_string_new ("[[plan]]\nname = \"p\"\nrate = 1000\n"
                                "burst = 5000\npriority = \"urgent\"\n"
                                "models = [\"m0\"]\n");
  for (int i = 0; i < world->sizes.organisations; i++)
    g_string_append_printf (
        plans, "[[organisation]]\nname = \"o%d\"\nplan = \"p\"\n", i);
  for (int i = 0; i < world->sizes.models; i++)
    g_string_append_printf (
        uses, "[[model]]\nname = \"m%d\"\nversion = \"1\"\nmemory_mb = 1000\n",
        i);
  add_row (world, g_strdup ("list/plans"), list_value (plans));
  add_row (world, g_strdup ("list/uses"), list_value (uses));
  g_string_free (plans, TRUE);
  g_string_free (uses, TRUE);
}

static void
add_keys (bench_t *world)
{
  for (int i = 0; i < world->sizes.keys; i++)
    add_row (world, g_strdup_printf ("key/%064x", i),
             g_strdup_printf ("{\"organisation\":\"o%d\",\"withdrawn\":false,"
                              "\"added_ms\":1}",
                              i % world->sizes.organisations));
}

static void
add_members (bench_t *world, int64_t counter)
{
  for (int i = 1; i < world->sizes.members; i++)
    add_row (
        world, g_strdup_printf ("session/entry-%d", i),
        g_strdup_printf (
            "{\"incarnation\":1,\"counter\":%lld,\"epoch_left\":1000000,"
            "\"leaving\":false,\"caller_address\":\"10.0.0.%d:80\","
            "\"peer_address\":\"10.0.0.%d:81\",\"data_centre\":\"dc-%d\"}",
            (long long)counter, i, i, i % 9));
}

static void
queue_store (bench_t *world, const kwf_effect_t *effect)
{
  const kwf_txn_t *txn = &effect->store.txn;
  g_ptr_array_add (world->pending,
                   g_memdup2 (&effect->store.op, sizeof effect->store.op));
  for (size_t i = 0; i < txn->n_puts; i++)
    if (strcmp (txn->puts[i].key, "shares") == 0)
      {
        g_free (world->shares);
        world->shares = g_strdup (txn->puts[i].value);
      }
}

static void
collect_effects (bench_t *world, kwf_effects_t *effects)
{
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_TIMER)
        world->tick_ns = effect->timer_ns;
      else if (effect->type == KWF_FX_STORE)
        queue_store (world, effect);
      else if (effect->type == KWF_FX_MEMBERS)
        world->members_asked = true;
      else if (effect->type == KWF_FX_PROBE)
        g_ptr_array_add (world->probes, g_strdup (effect->probe.server));
    }
  kwf_effects_clear (effects);
}

static void
step (bench_t *world, kwf_effects_t *effects, const kwf_event_t *event)
{
  kwf_core_step (world->core, event, effects);
  collect_effects (world, effects);
}

static void
answer_store (bench_t *world, kwf_effects_t *effects)
{
  while (world->pending->len > 0)
    {
      kwf_handle_t op = *(kwf_handle_t *)g_ptr_array_index (world->pending, 0);
      g_ptr_array_remove_index (world->pending, 0);
      world->revision++;
      if (!world->loaded)
        {
          add_config_rows (world);
          add_keys (world);
          world->loaded = true;
        }
      if (world->clock.now_ns >= world->next_renewal_ns)
        {
          add_members (world, world->clock.now_ns / KWF_NS_PER_MS);
          world->next_renewal_ns = world->clock.now_ns + 800 * KWF_NS_PER_MS;
        }
      /* The core uses the row "shares" only in replies to transactions of the
         session module.  */
      if (world->shares && op_owner (op) == OP_SESSION)
        add_row (world, g_strdup ("shares"), g_steal_pointer (&world->shares));
      kwf_store_reply_t reply
          = { .outcome = KWF_STORE_COMMITTED,
              .revision = world->revision,
              .rows = (const kwf_row_t *)(void *)world->rows->data,
              .n_rows = world->rows->len };
      step (world, effects,
            &(kwf_event_t){ .type = KWF_EV_STORE_REPLY,
                            .store = { .op = op, .reply = reply } });
      g_array_set_size (world->rows, 0);
      g_ptr_array_set_size (world->texts, 0);
    }
}

static void
answer_members (bench_t *world, kwf_effects_t *effects)
{
  if (!world->members_asked)
    return;
  world->members_asked = false;
  int count = world->sizes.servers;
  kwf_member_t *members = g_new0 (kwf_member_t, count);
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  for (int i = 0; i < count; i++)
    {
      char *id = g_strdup_printf ("engine-%d", i);
      g_ptr_array_add (names, id);
      members[i] = (kwf_member_t){ .id = id,
                                   .kind = KWF_MEMBER_ENGINE,
                                   .name = "",
                                   .address = "10.1.0.1:80",
                                   .data_centre = "dc-1" };
    }
  step (world, effects,
        &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                        .members = { .valid = true,
                                     .members = members,
                                     .n_members = (size_t)count } });
  g_ptr_array_free (names, TRUE);
  g_free (members);
}

static void
answer_probes (bench_t *world, kwf_effects_t *effects)
{
  kwf_resident_t models[4] = { { .name = "m0", .version = "1" },
                               { .name = "m1", .version = "1" },
                               { .name = "m2", .version = "1" },
                               { .name = "m3", .version = "1" } };
  while (world->probes->len > 0)
    {
      char *server = g_ptr_array_steal_index (world->probes, 0);
      kwf_report_event_t report = { .server = server,
                                    .valid = true,
                                    .incarnation = 1,
                                    .memory_total_mb = 80000,
                                    .memory_used_mb = 4000,
                                    .models = models,
                                    .n_models = 4 };
      step (world, effects,
            &(kwf_event_t){ .type = KWF_EV_REPORT, .report = report });
      g_free (server);
    }
}

static double
cpu_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static double
heap_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();
  return (double)info.uordblks + (double)info.hblkhd;
}

static void
run_until (bench_t *world, kwf_effects_t *effects, int64_t end_ns)
{
  while (world->clock.now_ns < end_ns)
    {
      int64_t next = MAX (world->tick_ns, world->clock.now_ns + KWF_NS_PER_MS);
      world->clock.now_ns = MIN (next, end_ns);
      step (world, effects, &(kwf_event_t){ .type = KWF_EV_TICK });
      answer_store (world, effects);
      answer_members (world, effects);
      answer_probes (world, effects);
    }
}

static cost_t
measure (sizes_t sizes, int seconds)
{
  static const kwf_clock_ops_t clock_ops
      = { .elapsed = fake_now, .wall = fake_now };
  static const kwf_random_ops_t random_ops = { .fill = fake_fill };
  bench_t world = { .sizes = sizes,
                    .clock = { { &clock_ops }, KWF_NS_PER_S },
                    .random = { { &random_ops }, 1 },
                    .rows = g_array_new (FALSE, FALSE, sizeof (kwf_row_t)),
                    .texts = g_ptr_array_new_with_free_func (g_free),
                    .pending = g_ptr_array_new_with_free_func (g_free),
                    .probes = g_ptr_array_new_with_free_func (g_free) };
  kwf_effects_t *effects = kwf_effects_new ();
  double before = heap_bytes ();
  kwf_core_options_t options = world_core_options ();
  options.instance = "entry-0";
  options.incarnation = 1;
  options.data_centre = "dc-0";
  options.caller_address = "10.0.0.0:80";
  options.peer_address = "10.0.0.0:81";
  options.placement = (kwf_placement_options_t){ .dynamic = sizes.placement,
                                                 .loads_per_s = 2,
                                                 .loads_at_once = 2,
                                                 .adapter_loads = 16,
                                                 .load_ns = 2 * KWF_NS_PER_S,
                                                 .copy_load = 40 };
  options.clock = &world.clock.clock;
  options.random = &world.random.random;
  world.core = kwf_core_new (&options);
  run_until (&world, effects, 5 * KWF_NS_PER_S);
  double start = cpu_us ();
  run_until (&world, effects, (5 + seconds) * KWF_NS_PER_S);
  cost_t cost = { .cpu_us_per_s = (cpu_us () - start) / seconds,
                  .bytes = heap_bytes () - before };
  if (!kwf_core_ready (world.core))
    {
      fprintf (stderr, "bench_state: the core is not ready\n");
      exit (1);
    }
  kwf_core_free (world.core);
  kwf_effects_free (effects);
  g_array_free (world.rows, TRUE);
  g_ptr_array_free (world.texts, TRUE);
  g_ptr_array_free (world.pending, TRUE);
  g_ptr_array_free (world.probes, TRUE);
  return cost;
}

static void
print_row (const char *metric, double value, const char *unit)
{
  printf ("{\"bench\":\"state\",\"metric\":\"%s\",\"value\":%.4g,"
          "\"unit\":\"%s\",\"baseline\":null}\n",
          metric, value, unit);
}

/* Memory and time for one more of a kind, between a small and a large
   size.  */
static void
report_slope (const char *name, sizes_t small, sizes_t large, int step_count,
              int seconds)
{
  cost_t a = measure (small, seconds);
  cost_t b = measure (large, seconds);
  char metric[64];
  g_snprintf (metric, sizeof metric, "bytes_per_%s", name);
  print_row (metric, (b.bytes - a.bytes) / step_count, "B");
  g_snprintf (metric, sizeof metric, "control_cpu_per_%s", name);
  print_row (metric, (b.cpu_us_per_s - a.cpu_us_per_s) / step_count, "us/s");
}

int
main (int argc, char **argv)
{
  bool quick = argc > 1 && strcmp (argv[1], "--quick") == 0;
  int seconds = quick ? 5 : 30;
  sizes_t base = {
    .organisations = 50, .keys = 50, .models = 50, .servers = 20, .members = 8
  };
  sizes_t more = base;
  more.organisations = 250;
  report_slope ("organisation", base, more, 200, seconds);
  more = base;
  more.keys = 2050;
  report_slope ("key", base, more, 2000, seconds);
  more = base;
  more.models = 1550;
  report_slope ("model", base, more, 1500, seconds);
  more = base;
  more.servers = 220;
  report_slope ("server", base, more, 200, seconds);
  more = base;
  more.members = 108;
  report_slope ("member", base, more, 100, seconds);
  sizes_t target = { .organisations = 500,
                     .keys = 2000,
                     .models = 1500,
                     .servers = 930,
                     .members = 420 };
  /* The leader's placement policy over all servers and models, run once a
     second.  */
  sizes_t alone = target;
  alone.members = 1;
  cost_t without = measure (alone, seconds);
  alone.placement = true;
  cost_t leader = measure (alone, seconds);
  print_row ("decider_bytes", leader.bytes - without.bytes, "B");
  print_row ("decider_cpu", leader.cpu_us_per_s - without.cpu_us_per_s,
             "us/s");
  target.placement = true;
  cost_t cost = measure (target, seconds);
  print_row ("target_size_bytes", cost.bytes, "B");
  print_row ("target_size_control_cpu", cost.cpu_us_per_s, "us/s");
  print_row ("target_size_core_share", cost.cpu_us_per_s / 1e4, "%");
  return 0;
}
