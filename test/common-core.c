#include "common-core.h"

#include <string.h>

#include "lib/lists-build.h"

static struct timespec
fake_elapsed (const kwf_clock_t *clock)
{
  int64_t now_ns = ((const core_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now_ns / KWF_NS_PER_S,
                            .tv_nsec = now_ns % KWF_NS_PER_S };
}

static void
fake_fill (kwf_random_t *random, void *buffer, size_t size)
{
  (void)random;
  memset (buffer, 7, size);
}

static const kwf_clock_ops_t clock_ops
    = { .monotonic = fake_elapsed, .wall = fake_elapsed };
static const kwf_random_ops_t random_ops = { .fill = fake_fill };
static kwf_random_t fixed_random = { .ops = &random_ops };

static kwf_lists_t *
make_lists (void)
{
  static const kwf_split_t desk = { "desk", 1 };
  static const kwf_split_t models = { "models", 1 };
  static const kwf_route_t routes[] = {
    { .name = "book",
      .host = "h.example",
      .prefix = "/book/",
      .splits = &desk,
      .n_splits = 1,
      .max_attempts = 2,
      .timeout_ns = 2 * KWF_NS_PER_S },
    { .name = "read",
      .host = "h.example",
      .prefix = "/read/",
      .splits = &desk,
      .n_splits = 1,
      .idempotent = true,
      .max_attempts = 2,
      .timeout_ns = 2 * KWF_NS_PER_S },
    { .name = "draft",
      .host = "h.example",
      .prefix = "/draft/",
      .splits = &models,
      .n_splits = 1,
      .stream = true,
      .resumable = true,
      .max_attempts = 2,
      .timeout_ns = 10 * KWF_NS_PER_S },
  };
  kwf_lists_t *lists = lists_new ();
  lists_add_service (lists, &(kwf_service_t){ .name = "desk" });
  lists_add_service (lists, &(kwf_service_t){ .name = "models",
                                              .engine = true,
                                              .memory_mb = 200000,
                                              .adapter_slots = 8,
                                              .loads_per_s = 2 });
  lists_add_model (lists, &(kwf_model_t){ .name = "m",
                                          .service = "models",
                                          .memory_mb = 70000,
                                          .load_ns = 3 * KWF_NS_PER_S });
  lists_add_model (lists, &(kwf_model_t){ .name = "n",
                                          .service = "models",
                                          .memory_mb = 70000,
                                          .load_ns = 3 * KWF_NS_PER_S });
  lists_add_organisation (lists, &(kwf_organisation_t){ .name = "o",
                                                        .plan = "",
                                                        .branch = "",
                                                        .rate = 1000,
                                                        .burst = 1000,
                                                        .plain_tokens = 10 });
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    lists_add_route (lists, &routes[i]);
  return lists;
}

/* Commit the transactions of the step, and those that follow from the
   replies.  */
static void
commit_transactions (core_world_t *world)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type != KWF_FX_STORE || world->silent)
        continue;
      kwf_event_t event = { .type = KWF_EV_STORE_REPLY };
      event.store.op = effect->store.op;
      event.store.reply = (kwf_store_reply_t){ .outcome = KWF_STORE_COMMITTED,
                                               .revision = ++world->revision };
      kwf_core_step (world->core, &event, world->effects);
    }
}

void
core_world_step (core_world_t *world, const kwf_event_t *event)
{
  kwf_effects_clear (world->effects);
  kwf_core_step (world->core, event, world->effects);
  commit_transactions (world);
}

void
core_world_advance (core_world_t *world, int64_t ms)
{
  world->clock.now_ns += ms * KWF_NS_PER_MS;
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_TICK });
}

void
core_world_row (core_world_t *world, const char *key, const char *value)
{
  kwf_row_t row = { key, ++world->revision, value };
  kwf_message_t message = { .type = KWF_MSG_STATE_ROWS,
                            .state_rows = { world->revision, &row, 1 } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = "b",
                                                    .incarnation = 1,
                                                    .message = &message } });
}

/* How a core is started.  */
typedef struct
{
  bool unchecked;   /* engines do not check fencing tokens */
  bool predicted;   /* requests are admitted by forecast */
  size_t n_regions; /* data centres whose regions it knows */
  int64_t serve_ms; /* it serves for this time after a stop begins, */
  int64_t limit_ms; /* and cuts what is open after this one */
} start_t;

static void
start (core_world_t *world, const start_t *how)
{
  static const kwf_region_t regions[] = { { "c", "north" }, { "x", "south" } };
  *world = (core_world_t){ .clock = { .clock = { &clock_ops },
                                      .now_ns = KWF_NS_PER_S } };
  world->effects = kwf_effects_new ();
  world->core = kwf_core_new (&(kwf_core_options_t){
      .instance = "a",
      .incarnation = 1,
      .data_centre = "c",
      .regions = regions,
      .contact_ns = how->n_regions ? 4 * KWF_NS_PER_S : 0,
      .n_regions = how->n_regions,
      .caller_address = "127.0.0.1:1",
      .peer_address = "127.0.0.1:2",
      .lease_ns = 300 * KWF_NS_PER_S,
      .renew_ns = 100 * KWF_NS_PER_S,
      .address_lifetime_ns = KWF_NS_PER_S,
      .default_timeout_ns = 60 * KWF_NS_PER_S,
      .retry_share = 0.2,
      .push_updates = true,
      .predict_admission = how->predicted,
      .stop_serve_ns = how->serve_ms * KWF_NS_PER_MS,
      .stop_limit_ns = how->limit_ms * KWF_NS_PER_MS,
      .placement = { .dynamic = true,
                     .lease_ns = 2 * KWF_NS_PER_S,
                     .fencing_unchecked = how->unchecked },
      .clock = &world->clock.clock,
      .random = &fixed_random });
  core_world_step (
      world, &(kwf_event_t){ .type = KWF_EV_PEER_UP,
                             .peer = { .instance = "b", .incarnation = 1 } });
  core_world_row (world, "shares",
                  "{\"epoch\":1,\"members\":[{\"instance\":\"a\","
                  "\"incarnation\":1}],\"previous\":[],\"before\":0}");
  core_world_advance (world, 10);
  static const kwf_key_grant_t key = { "k", "o" };
  kwf_lists_t *lists = make_lists ();
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_CONFIG,
                                          .config = { .version = 1,
                                                      .lists = &lists,
                                                      .keys = &key,
                                                      .n_keys = 1 } });
  core_world_advance (world, 2000);
}

void
core_world_start_tokens (core_world_t *world, bool unchecked)
{
  start (world, &(start_t){ .unchecked = unchecked,
                            .serve_ms = CORE_WORLD_SERVE_MS,
                            .limit_ms = CORE_WORLD_STOP_MS });
}

void
core_world_start_admission (core_world_t *world, bool predicted)
{
  start (world, &(start_t){ .predicted = predicted,
                            .serve_ms = CORE_WORLD_SERVE_MS,
                            .limit_ms = CORE_WORLD_STOP_MS });
}

void
core_world_start_grace (core_world_t *world, int64_t serve_ms,
                        int64_t limit_ms)
{
  start (world, &(start_t){ .serve_ms = serve_ms, .limit_ms = limit_ms });
}

void
core_world_start_regions (core_world_t *world)
{
  start (world, &(start_t){ .serve_ms = CORE_WORLD_SERVE_MS,
                            .limit_ms = CORE_WORLD_STOP_MS,
                            .n_regions = 2 });
}

void
core_world_start (core_world_t *world)
{
  core_world_start_tokens (world, false);
}

void
core_world_stop (core_world_t *world)
{
  kwf_core_free (world->core);
  kwf_effects_free (world->effects);
}

void
core_world_servers_at (core_world_t *world, int64_t revision)
{
  static const kwf_resident_t model = { .name = "m", .version = "" };
  kwf_member_t members[] = {
    { .id = "d1",
      .kind = KWF_MEMBER_SERVICE,
      .name = "desk",
      .address = "127.0.0.1:11",
      .data_centre = "c",
      .described = true,
      .revision = 1,
      .incarnation = 1,
      .slots = 6 },
    { .id = "d2",
      .kind = KWF_MEMBER_SERVICE,
      .name = "desk",
      .address = "127.0.0.1:12",
      .data_centre = "c",
      .described = true,
      .revision = 2,
      .incarnation = 1,
      .slots = 6 },
    { .id = "e1",
      .kind = KWF_MEMBER_ENGINE,
      .name = "models",
      .address = "127.0.0.1:21",
      .data_centre = "c",
      .described = true,
      .revision = 3,
      .incarnation = 1,
      .slots = 8,
      .models = &model,
      .n_models = 1 },
    { .id = "e2",
      .kind = KWF_MEMBER_ENGINE,
      .name = "models",
      .address = "127.0.0.1:22",
      .data_centre = "c",
      .described = true,
      .revision = 4,
      .incarnation = 1,
      .slots = 8,
      .models = &model,
      .n_models = 1 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    members[i].revision += revision;
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_MEMBERS,
                                          .members = { .valid = true,
                                                       .members = members,
                                                       .n_members = 4 } });
}

void
core_world_servers (core_world_t *world)
{
  core_world_servers_at (world, 0);
}

void
core_world_request (core_world_t *world, kwf_handle_t handle, const char *path,
                    const char *model)
{
  core_world_step (world,
                   &(kwf_event_t){ .type = KWF_EV_REQUEST,
                                   .request = { .handle = handle,
                                                .kind = KWF_REQUEST_ROUTED,
                                                .id = "r",
                                                .key_digest = "k",
                                                .host = "H.example:80",
                                                .path = path,
                                                .model = model,
                                                .fingerprint = handle } });
}

const kwf_effect_t *
core_world_effect (const core_world_t *world, kwf_effect_type_t type)
{
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    if (kwf_effects_at (world->effects, i)->type == type)
      return kwf_effects_at (world->effects, i);
  return NULL;
}

void
core_world_feed_residency (core_world_t *world, const char *model,
                           const char *adapter, bool present)
{
  kwf_message_t message
      = { .type = KWF_MSG_RESIDENCY,
          .residency = { "e1", 1, .model = model, .adapter = adapter,
                         .present = present } };
  core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                          .peer = { .instance = "b",
                                                    .message = &message } });
}

int
core_world_setup (void **state)
{
  core_world_t *world = g_new0 (core_world_t, 1);
  core_world_start (world);
  *state = world;
  return 0;
}

int
core_world_setup_servers (void **state)
{
  core_world_setup (state);
  core_world_servers (*state);
  return 0;
}

int
core_world_setup_unchecked (void **state)
{
  core_world_t *world = g_new0 (core_world_t, 1);
  core_world_start_tokens (world, true);
  core_world_servers (world);
  *state = world;
  return 0;
}

int
core_world_teardown (void **state)
{
  core_world_stop (*state);
  g_free (*state);
  return 0;
}
