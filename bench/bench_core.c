/* Cost of the core: of a short request from admission to its answer, and of
   one piece of a stream.  A table in memory answers at once; nothing outside
   the core is measured.

   Usage: bench_core [REQUESTS [OPEN_STREAMS]] */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <knapweedfork/core.h>

#include "standin/common-world.h"

#define N_SERVERS 12

static const char uses[]
    = "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1000\n"
      "adapters = []\n"
      "[[plan]]\nname = \"basic\"\nrate = 900000000.0\nburst = 900000000.0\n"
      "priority = \"urgent\"\nmodels = [\"m\"]\nadapters = []\n"
      "services = []\n";
static const char plans[]
    = "[[organisation]]\nname = \"north\"\nplan = \"basic\"\n";
static const char digest[]
    = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

typedef struct
{
  char *key;
  char *value;
  int64_t version;
} record_t;

typedef struct
{
  kwf_core_t *core;
  kwf_effects_t *effects;
  GPtrArray *records;
  int64_t revision;
  kwf_handle_t attempt; /* of the last attempt that the core started */
  kwf_handle_t next;
} bench_t;

static void
record_free (gpointer data)
{
  record_t *record = data;
  g_free (record->key);
  g_free (record->value);
  g_free (record);
}

static record_t *
find_record (const bench_t *bench, const char *key)
{
  for (guint i = 0; i < bench->records->len; i++)
    {
      record_t *record = g_ptr_array_index (bench->records, i);
      if (strcmp (record->key, key) == 0)
        return record;
    }
  return NULL;
}

static void
put (bench_t *bench, const kwf_put_t *put_of)
{
  record_t *record = find_record (bench, put_of->key);
  if (!record)
    {
      record = g_new0 (record_t, 1);
      record->key = g_strdup (put_of->key);
      g_ptr_array_add (bench->records, record);
    }
  g_free (record->value);
  record->value = g_strdup (put_of->value);
  record->version = bench->revision;
}

static void step (bench_t *bench, const kwf_event_t *event);

/* All conditions hold, because there is only one writer.  */
static void
answer_store (bench_t *bench, kwf_handle_t op, const kwf_txn_t *txn)
{
  if (txn->n_puts)
    bench->revision++;
  for (size_t i = 0; i < txn->n_puts; i++)
    put (bench, &txn->puts[i]);
  kwf_row_t *rows = g_new0 (kwf_row_t, bench->records->len + 1);
  size_t n = 0;
  for (guint i = 0; i < bench->records->len; i++)
    {
      const record_t *record = g_ptr_array_index (bench->records, i);
      bool wanted = false;
      for (size_t k = 0; k < txn->n_prefixes; k++)
        wanted = wanted || g_str_has_prefix (record->key, txn->prefixes[k]);
      if (wanted && record->version > txn->after)
        rows[n++] = (kwf_row_t){ record->key, record->version, record->value };
    }
  step (bench,
        &(kwf_event_t){ .type = KWF_EV_STORE_REPLY,
                        .store = { .op = op,
                                   .reply = { .outcome = KWF_STORE_COMMITTED,
                                              .revision = bench->revision,
                                              .rows = rows,
                                              .n_rows = n } } });
  g_free (rows);
}

static void
answer_members (bench_t *bench)
{
  static const char *const ids[N_SERVERS]
      = { "e1", "e2", "e3", "e4",  "e5",  "e6",
          "e7", "e8", "e9", "e10", "e11", "e12" };
  kwf_member_t *members = g_new0 (kwf_member_t, N_SERVERS);
  for (int i = 0; i < N_SERVERS; i++)
    members[i] = (kwf_member_t){ .id = ids[i],
                                 .kind = KWF_MEMBER_ENGINE,
                                 .name = "",
                                 .address = "127.0.0.1:1",
                                 .data_centre = "a" };
  step (bench, &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                               .members = { .valid = true,
                                            .members = members,
                                            .n_members = N_SERVERS } });
  g_free (members);
}

static void
answer_probe (bench_t *bench, const char *server)
{
  static const kwf_resident_t model = { .name = "m", .version = "1" };
  step (bench, &(kwf_event_t){ .type = KWF_EV_REPORT,
                               .report = { .server = server,
                                           .valid = true,
                                           .incarnation = 1,
                                           .resume = true,
                                           .models = &model,
                                           .n_models = 1 } });
}

/* Step the core and answer the effects that need it.  The steps with the
   answers come in between the effects of this step.  */
static void
step (bench_t *bench, const kwf_event_t *event)
{
  kwf_effects_t *effects = kwf_effects_new ();
  kwf_core_step (bench->core, event, effects);
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_STORE)
        answer_store (bench, effect->store.op, &effect->store.txn);
      else if (effect->type == KWF_FX_MEMBERS)
        answer_members (bench);
      else if (effect->type == KWF_FX_PROBE)
        answer_probe (bench, effect->probe.server);
    }
  kwf_effects_free (effects);
}

static void
operate (bench_t *bench, kwf_operator_command_t command)
{
  step (bench, &(kwf_event_t){ .type = KWF_EV_OPERATOR,
                               .operator_ = { .handle = ++bench->next,
                                              .command = command,
                                              .plans = plans,
                                              .uses = uses,
                                              .organisation = "north",
                                              .digest = digest } });
}

static void
tick_for (bench_t *bench, int64_t duration_ns)
{
  int64_t end_ns = kwf_now_ns (kwf_clock_system ()) + duration_ns;
  while (kwf_now_ns (kwf_clock_system ()) < end_ns)
    {
      step (bench, &(kwf_event_t){ .type = KWF_EV_TICK });
      g_usleep (10000);
    }
}

/* Step the core in the measured part.  Effects are read but not carried
   out.  */
static void
measured_step (bench_t *bench, const kwf_event_t *event)
{
  kwf_core_step (bench->core, event, bench->effects);
  for (size_t i = 0; i < kwf_effects_count (bench->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (bench->effects, i);
      if (effect->type == KWF_FX_ATTEMPT_START)
        bench->attempt = effect->start.attempt;
      else if (effect->type == KWF_FX_REPLY)
        fprintf (stderr, "bench_core: refused: %s\n", effect->reply.code);
    }
  kwf_effects_clear (bench->effects);
}

static kwf_handle_t
send_request (bench_t *bench, bool stream)
{
  kwf_handle_t handle = ++bench->next;
  bench->attempt = 0;
  measured_step (bench,
                 &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                 .request = { .handle = handle,
                                              .kind = KWF_REQUEST_COMPLETION,
                                              .id = "r-0123456789",
                                              .key_digest = digest,
                                              .model = "m",
                                              .idempotent = true,
                                              .stream = stream,
                                              .prompt_tokens = 20,
                                              .max_tokens = 20,
                                              .fingerprint = handle,
                                              .prefix = handle } });
  return handle;
}

static double
short_requests (bench_t *bench, int n)
{
  int64_t start_ns = kwf_now_ns (kwf_clock_system ());
  for (int i = 0; i < n; i++)
    {
      kwf_handle_t handle = send_request (bench, false);
      if (!bench->attempt)
        {
          fputs ("bench_core: a request was refused\n", stderr);
          exit (EXIT_FAILURE);
        }
      measured_step (bench,
                     &(kwf_event_t){ .type = KWF_EV_ATTEMPT_END,
                                     .attempt = { .attempt = bench->attempt,
                                                  .request = handle,
                                                  .tokens = 5,
                                                  .status = 200,
                                                  .body = "{}",
                                                  .body_size = 2 } });
      if (i % 1000 == 0)
        step (bench, &(kwf_event_t){ .type = KWF_EV_TICK });
    }
  return (double)(kwf_now_ns (kwf_clock_system ()) - start_ns) / n;
}

static double
stream_pieces (bench_t *bench, int streams, int pieces)
{
  kwf_handle_t *attempts = g_new0 (kwf_handle_t, streams);
  kwf_handle_t *handles = g_new0 (kwf_handle_t, streams);
  for (int i = 0; i < streams; i++)
    {
      handles[i] = send_request (bench, true);
      attempts[i] = bench->attempt;
    }
  int64_t start_ns = kwf_now_ns (kwf_clock_system ());
  for (int token = 1; token <= pieces; token++)
    for (int i = 0; i < streams; i++)
      measured_step (bench,
                     &(kwf_event_t){ .type = KWF_EV_ATTEMPT_DATA,
                                     .attempt = { .attempt = attempts[i],
                                                  .request = handles[i],
                                                  .tokens = token } });
  int64_t spent_ns = kwf_now_ns (kwf_clock_system ()) - start_ns;
  g_free (attempts);
  g_free (handles);
  return (double)spent_ns / ((double)streams * pieces);
}

int
main (int argc, char **argv)
{
  int requests = argc > 1 ? atoi (argv[1]) : 200000;
  int streams = argc > 2 ? atoi (argv[2]) : 1000;
  bench_t bench = { .effects = kwf_effects_new (),
                    .records = g_ptr_array_new_with_free_func (record_free) };
  kwf_core_options_t options = world_core_options ();
  options.instance = "i1";
  options.incarnation = 1;
  options.caller_address = "127.0.0.1:1";
  options.peer_address = "127.0.0.1:2";
  options.clock = kwf_clock_system ();
  options.random = kwf_random_system ();
  bench.core = kwf_core_new (&options);
  tick_for (&bench, KWF_NS_PER_S);
  operate (&bench, KWF_OPERATOR_APPLY);
  operate (&bench, KWF_OPERATOR_KEY_ADD);
  tick_for (&bench, 4 * KWF_NS_PER_S);
  printf ("short request: %.0f ns\n", short_requests (&bench, requests));
  printf ("stream piece with %d open streams: %.0f ns\n", streams,
          stream_pieces (&bench, streams, 1000));
  kwf_core_free (bench.core);
  kwf_effects_free (bench.effects);
  g_ptr_array_free (bench.records, TRUE);
  return EXIT_SUCCESS;
}
