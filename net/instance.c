/* Start, stop and event loop of an instance; carries out the core's
   effects.  */

#include "instance-internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <sodium.h>
#include <string.h>

#include "../lib/logging.h"
#include "address.h"
#include "stop-times.h"
#include "instance-listen.h"

/* of a secret made by instance_new_secret */
#define SECRET_BYTES 32

/* When the core has ended all requests, the server may still have unsent
   bytes.  The loop runs on for at most this many polls of 50 ms.  */
#define EXIT_POLLS 100

/* Limit of an answer of the platform or of a model engine's load report.  */
#define MAX_CONTROL_ANSWER_BYTES ((size_t)16 << 20)

/* Part of the instance's memory that the bodies of open answers may take, of
   backend servers and of the platform each.  Buffers that grow take twice as
   much.  */
#define ANSWERS_MEMORY_PART 10
#define ANSWERS_MAX_BYTES ((int64_t)64 << 20)

static size_t
max_answers_bytes (const kwf_settings_t *settings)
{
  int64_t bytes = (settings->memory_mb << 20) / ANSWERS_MEMORY_PART;
  return (size_t)(bytes ? MIN (bytes, ANSWERS_MAX_BYTES) : ANSWERS_MAX_BYTES);
}

static void
on_store_reply (void *data, kwf_handle_t op, const kwf_store_reply_t *reply)
{
  instance_step (data, &(kwf_event_t){ .type = KWF_EV_STORE_REPLY,
                                       .store = { op, *reply } });
}

static void
on_members (void *data, const kwf_members_event_t *members)
{
  instance_step (
      data, &(kwf_event_t){ .type = KWF_EV_MEMBERS, .members = *members });
}

static void
on_config (void *data, const kwf_config_event_t *config)
{
  instance_step (data,
                 &(kwf_event_t){ .type = KWF_EV_CONFIG, .config = *config });
}

static void
on_evacuations (void *data, const kwf_evacuations_event_t *event)
{
  instance_step (data, &(kwf_event_t){ .type = KWF_EV_EVACUATIONS,
                                       .evacuations = *event });
}

static void
on_rows (void *data, const kwf_rows_event_t *rows)
{
  instance_step (data, &(kwf_event_t){ .type = KWF_EV_ROWS, .rows = *rows });
}

static void
on_dated (void *data, const kwf_table_date_event_t *date)
{
  instance_step (data,
                 &(kwf_event_t){ .type = KWF_EV_TABLE_DATE, .date = *date });
}

/* The platform's fleet secret became known.  No link could be made before,
   since this instance used a secret of its own.  */
static void
on_secret (void *data, const char *secret)
{
  instance_t *instance = data;
  kwf_error_t error;
  const char *const secrets[PEERS_MAX_SECRETS] = { secret, NULL };
  if (peers_set_secrets (instance->peers, secrets, &error) != KWF_OK)
    logging_event (20, KWF_LOG_ERROR, "fleet secret: %s: %s", error.step,
                   error.message);
}

/* Age of what this instance knows of a table at which it polls the platform
   itself.  */
static int64_t
table_max_age_ns (void *data)
{
  return kwf_core_feed_max_age_ns (((instance_t *)data)->core);
}

typedef struct
{
  instance_t *instance;
  kwf_message_t message;
} publish_t;

static void
publish_to (const char *instance, void *data)
{
  const publish_t *publish = data;
  /* An instance without a link, or with a full one, polls the platform.  */
  (void)peers_send (publish->instance->peers, instance, &publish->message);
}

static void
on_publish (void *data, const kwf_feed_t *changes, bool own)
{
  publish_t publish
      = { .instance = data,
          .message = { .type = KWF_MSG_FEED, .feed = *changes } };
  kwf_core_feed_targets (publish.instance->core, own, publish_to, &publish);
}

static void
on_send_feed (void *data, const char *peer, const kwf_feed_t *changes)
{
  publish_t publish
      = { .instance = data,
          .message = { .type = KWF_MSG_FEED, .feed = *changes } };
  publish_to (peer, &publish);
}

static const store_handler_t store_handler = { .reply = on_store_reply,
                                               .members = on_members,
                                               .config = on_config,
                                               .evacuations = on_evacuations,
                                               .rows = on_rows,
                                               .dated = on_dated,
                                               .max_age_ns = table_max_age_ns,
                                               .publish = on_publish,
                                               .send_feed = on_send_feed,
                                               .secret = on_secret };

static void
on_peer_up (void *data, const char *peer_id, uint64_t incarnation)
{
  instance_step (data,
                 &(kwf_event_t){ .type = KWF_EV_PEER_UP,
                                 .peer = { .instance = peer_id,
                                           .incarnation = incarnation } });
  instance_t *instance = data;
  if (instance->store->ops->on_link_up)
    instance->store->ops->on_link_up (
        instance->store, peer_id,
        kwf_core_has_member (instance->core, peer_id, incarnation));
}

static void
on_peer_down (void *data, const char *peer_id, bool refused)
{
  instance_step (data, &(kwf_event_t){ .type = KWF_EV_PEER_DOWN,
                                       .peer = { .instance = peer_id,
                                                 .refused = refused } });
}

static void
on_peer_message (void *data, const char *peer_id, uint64_t incarnation,
                 const kwf_message_t *message)
{
  store_t *store = ((instance_t *)data)->store;
  if (message->type == KWF_MSG_FEED)
    {
      if (store->ops->receive_feed)
        store->ops->receive_feed (store, peer_id, &message->feed);
      return;
    }
  instance_step (data, &(kwf_event_t){ .type = KWF_EV_PEER_MESSAGE,
                                       .peer = { .instance = peer_id,
                                                 .incarnation = incarnation,
                                                 .message = message } });
}

static int64_t
own_revision (void *data)
{
  return kwf_core_revision (((instance_t *)data)->core);
}

static void
on_link_fault (void *data, const kwf_error_t *error)
{
  (void)data;
  logging_event (20, KWF_LOG_WARNING, "link %s: %s: %s", error->peer,
                 error->step, error->message);
}

static const peers_handler_t peer_handler = {
  .up = on_peer_up,
  .down = on_peer_down,
  .message = on_peer_message,
  .revision = own_revision,
  .refused = on_link_fault,
};

static void
on_tick (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  instance_t *instance = timer->data;
  instance->tick_at_ns = INT64_MAX;
  instance_step (instance, &(kwf_event_t){ .type = KWF_EV_TICK });
}

/* A deadline that stays in the past must not keep the loop busy.  */
#define MIN_TICK_S 0.001

/* Makes the core tick at AT_NS.  An earlier time moves the timer; a later one
   waits for the next tick, which costs less than restarting the timer with
   each request.  */
static void
set_tick (instance_t *instance, int64_t at_ns)
{
  if (at_ns >= instance->tick_at_ns)
    return;
  instance->tick_at_ns = at_ns;
  double delay
      = (double)(at_ns - kwf_now_ns (kwf_clock_system ())) / KWF_NS_PER_S;
  ev_now_update (instance->loop);
  ev_timer_stop (instance->loop, &instance->tick);
  ev_timer_set (&instance->tick, MAX (delay, MIN_TICK_S), 0);
  ev_timer_start (instance->loop, &instance->tick);
}

static void
on_exit_poll (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  instance_t *instance = timer->data;
  if (server_open_requests (instance->caller_server) > 0
      && instance->exit_polls_left-- > 0)
    return;
  ev_timer_stop (loop, timer);
  logging_event (11, KWF_LOG_INFO, "stopped");
  ev_break (loop, EVBREAK_ALL);
}

static void
begin_exit (instance_t *instance)
{
  if (instance->exiting)
    return;
  instance->exiting = true;
  instance->exit_polls_left = EXIT_POLLS;
  server_quiesce (instance->caller_server);
  ev_timer_start (instance->loop, &instance->exit_poll);
}

static void
run_effect (instance_t *instance, const kwf_effect_t *effect)
{
  switch (effect->type)
    {
    case KWF_FX_TIMER:
      set_tick (instance, effect->timer_ns);
      break;
    case KWF_FX_STORE:
      instance->store->ops->txn (instance->store, effect->store.op,
                                 &effect->store.txn, effect->store.timeout_ns);
      break;
    case KWF_FX_MEMBERS:
      instance->store->ops->read_members (instance->store);
      break;
    case KWF_FX_PROBE:
      probe_start (instance, effect->probe.server, effect->probe.address);
      break;
    case KWF_FX_ASK:
      probe_ask (instance, effect->probe.server, effect->probe.address,
                 effect->probe.asked_ns);
      break;
    case KWF_FX_ORDER:
      order_start (instance, &effect->order);
      break;
    case KWF_FX_PEER_LINK:
      peers_link (instance->peers, effect->link.instance,
                  effect->link.address);
      break;
    case KWF_FX_PEER_UNLINK:
      peers_unlink (instance->peers, effect->link.instance);
      break;
    case KWF_FX_PEER_SEND:
      peers_send (instance->peers, effect->send.instance,
                  &effect->send.message);
      break;
    case KWF_FX_ATTEMPT_START:
      transfer_start (instance, &effect->start);
      break;
    case KWF_FX_ATTEMPT_CANCEL:
      transfer_cancel (instance, effect->attempt.attempt);
      break;
    case KWF_FX_FORWARD:
      transfer_forward (instance, effect->attempt.request,
                        effect->attempt.attempt);
      break;
    case KWF_FX_FORWARD_END:
      transfer_forward_end (instance, effect->attempt.request,
                            effect->attempt.attempt);
      break;
    case KWF_FX_REPLY:
      caller_reply (instance, &effect->reply);
      break;
    case KWF_FX_OPERATOR_REPLY:
      operator_reply (instance, &effect->operator_reply);
      break;
    case KWF_FX_LOG:
      logging_write (&effect->log);
      break;
    case KWF_FX_REFRESH:
      if (instance->store->ops->refresh)
        instance->store->ops->refresh (instance->store);
      break;
    case KWF_FX_EXIT:
      begin_exit (instance);
      break;
    }
}

void
instance_step (instance_t *instance, const kwf_event_t *event)
{
  /* A nested call would clear the effects that are being carried out.  */
  g_assert (!instance->stepping);
  instance->stepping = true;
  kwf_core_step (instance->core, event, instance->effects);
  size_t count = kwf_effects_count (instance->effects);
  for (size_t i = 0; i < count; i++)
    run_effect (instance, kwf_effects_at (instance->effects, i));
  kwf_effects_clear (instance->effects);
  instance->stepping = false;
}

static kwf_core_t *
new_core (const instance_t *instance)
{
  const kwf_settings_t *settings = instance->settings;
  return kwf_core_new (&(kwf_core_options_t){
      .instance = settings->instance,
      .incarnation = instance->incarnation,
      .data_centre = settings->data_centre,
      .regions = settings->regions,
      .n_regions = settings->n_regions,
      .cores = settings->cores,
      .caller_address = instance->caller_address,
      .peer_address = instance->peer_address,
      .lease_ns = settings->lease_ms * KWF_NS_PER_MS,
      .renew_ns = settings->renew_ms * KWF_NS_PER_MS,
      .probe_ns = settings->probe_ms * KWF_NS_PER_MS,
      .fresh_ns = settings->fresh_ms * KWF_NS_PER_MS,
      .address_lifetime_ns = settings->address_lifetime_ms * KWF_NS_PER_MS,
      .contact_ns = settings->contact_ms * KWF_NS_PER_MS,
      .default_timeout_ns = settings->default_timeout_ms * KWF_NS_PER_MS,
      .stop_limit_ns = stop_times_limit_ns (settings),
      .stop_serve_ns = stop_times_serve_ns (settings),
      .push_updates = instance->protocol->push_updates,
      .finish_withdrawn = strcmp (settings->withdrawn, "finish") == 0,
      .overdraft = settings->overdraft,
      .retry_share = settings->retry_share,
      .retry_window_ns = (int64_t)(settings->retry_window_s * KWF_NS_PER_S),
      .retry_slack = settings->retry_slack,
      .keep_unsafe = strcmp (settings->reuse, "all") == 0,
      .start_measured = strcmp (settings->start_pace, "measured") == 0,
      .first_token_ns = { settings->first_token_ms[0] * KWF_NS_PER_MS,
                          settings->first_token_ms[1] * KWF_NS_PER_MS,
                          settings->first_token_ms[2] * KWF_NS_PER_MS },
      .queue_length = settings->queue_length,
      .queue_organisation_length = settings->queue_organisation_length,
      .preempt_share = settings->preempt_share,
      .predict_admission = strcmp (settings->admission, "predicted") == 0,
      .placement = {
        .dynamic = strcmp (settings->placement_mode, "dynamic") == 0,
        .worst_served
        = strcmp (settings->placement_weight, "worst_served") == 0,
        .loads_per_s = settings->loads_per_s,
        .loads_at_once = settings->loads_at_once,
        .adapter_loads_at_once = settings->adapter_loads_at_once,
        .load_ns = settings->load_ms * KWF_NS_PER_MS,
        .lease_ns = settings->placement_lease_ms * KWF_NS_PER_MS,
        .fencing_unchecked = strcmp (settings->placement_tokens, "unchecked") == 0,
        .max_requests_per_copy = settings->max_requests_per_copy,
      },
      .clock = kwf_clock_system (),
      .random = kwf_random_system (),
  });
}

bool
instance_reload (instance_t *instance, const kwf_settings_t *settings,
                 kwf_error_t *error)
{
  const char *const secrets[PEERS_MAX_SECRETS]
      = { settings->fleet_secret, settings->accepted_fleet_secret };
  instance->newest_settings = settings;
  return (!settings->fleet_secret
          || peers_set_secrets (instance->peers, secrets, error) == KWF_OK)
         && listen_reload (instance->caller_server, settings->tls_certificate,
                           settings->tls_key, error)
         && listen_reload (instance->operator_server,
                           settings->operator_certificate,
                           settings->operator_key, error);
}

char *
instance_new_secret (void)
{
  unsigned char bytes[SECRET_BYTES];
  char text[2 * SECRET_BYTES + 1];
  randombytes_buf (bytes, sizeof bytes);
  return g_strdup (sodium_bin2hex (text, sizeof text, bytes, sizeof bytes));
}

/* Opens the listeners.  The callers' port is last, so that no request arrives
   before its effects can be carried out.  */
static bool
open_listeners (instance_t *instance, kwf_error_t *error)
{
  const kwf_settings_t *settings = instance->settings;
  char *random_secret = settings->fleet_secret ? NULL : instance_new_secret ();
  instance->peers = peers_start (
      instance->loop,
      &(peers_options_t){
          .instance = settings->instance,
          .incarnation = instance->incarnation,
          .address = settings->peer_listen,
          .secrets = { random_secret ? random_secret : settings->fleet_secret,
                       settings->accepted_fleet_secret },
      },
      &peer_handler, instance, error);
  g_free (random_secret);
  if (!instance->peers)
    return false;
  instance->operator_server = listen_operators (instance, error);
  if (!instance->operator_server)
    return false;
  if (!listen_small (instance, &instance->ready_server, settings->ready_listen,
                     instance->protocol->ready, error)
      || !listen_small (instance, &instance->directory_server,
                        settings->directory_listen,
                        instance->protocol->directory, error))
    return false;
  instance->caller_server = listen_callers (instance, error);
  if (!instance->caller_server)
    return false;
  instance->caller_address = address_replace_port (
      settings->caller_address, server_port (instance->caller_server));
  instance->operator_address = address_replace_port (
      settings->operator_listen, server_port (instance->operator_server));
  instance->peer_address = address_replace_port (settings->peer_address,
                                                 peers_port (instance->peers));
  return true;
}

instance_t *
instance_start (struct ev_loop *loop, const kwf_settings_t *settings,
                const protocol_t *protocol, kwf_error_t *error)
{
  instance_t *instance = g_new0 (instance_t, 1);
  instance->loop = loop;
  instance->protocol = protocol;
  instance->pepper = settings->key_pepper ? g_strdup (settings->key_pepper)
                                          : instance_new_secret ();
  instance->settings = settings;
  instance->newest_settings = settings;
  instance->incarnation = (uint64_t)kwf_wall_ms (kwf_clock_system ());
  instance->tick_at_ns = INT64_MAX;
  instance->effects = kwf_effects_new ();
  instance->intake = listen_account (settings);
  instance->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, caller_request_free);
  instance->attempts = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, transfer_free);
  instance->commands = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, operator_command_free);
  instance->control_calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  ev_init (&instance->tick, on_tick);
  instance->tick.data = instance;
  ev_timer_init (&instance->exit_poll, on_exit_poll, 0.05, 0.05);
  instance->exit_poll.data = instance;
  client_options_t transfers = {
    .connect_ms = (unsigned)settings->connect_ms,
    .max_answer_bytes = (size_t)settings->max_answer_bytes,
    .max_total_bytes = max_answers_bytes (settings),
  };
  instance->client = client_new (loop, &transfers);
  client_options_t control
      = { .connect_ms = (unsigned)settings->connect_ms,
          .max_answer_bytes = MAX_CONTROL_ANSWER_BYTES,
          .max_total_bytes = max_answers_bytes (settings) };
  instance->control = client_new (loop, &control);
  instance->store = protocol->new_store (instance, &store_handler);
  if (!open_listeners (instance, error))
    {
      instance_free (instance);
      return NULL;
    }
  instance->core = new_core (instance);
  loop_turn_start (&instance->turn, loop, kwf_clock_system ());
  logging_event (10, KWF_LOG_INFO, "started, callers %s, operators %s",
                 instance->caller_address, instance->operator_address);
  instance_step (instance, &(kwf_event_t){ .type = KWF_EV_TICK });
  return instance;
}

void
instance_stop (instance_t *instance)
{
  server_close_after_answers (instance->caller_server);
  instance_step (instance, &(kwf_event_t){ .type = KWF_EV_STOP });
}

void
instance_free (instance_t *instance)
{
  if (!instance)
    return;
  loop_turn_stop (&instance->turn);
  ev_timer_stop (instance->loop, &instance->tick);
  ev_timer_stop (instance->loop, &instance->exit_poll);
  if (instance->caller_server)
    server_stop (instance->caller_server);
  server_stop (instance->operator_server);
  server_stop (instance->ready_server);
  server_stop (instance->directory_server);
  intake_free (instance->intake);
  if (instance->peers)
    peers_stop (instance->peers);
  instance->store->ops->free (instance->store);
  g_hash_table_destroy (instance->attempts);
  g_hash_table_destroy (instance->requests);
  g_hash_table_destroy (instance->commands);
  client_free (instance->client);
  client_free (instance->control);
  g_hash_table_destroy (instance->control_calls);
  if (instance->core)
    kwf_core_free (instance->core);
  kwf_effects_free (instance->effects);
  g_free (instance->pepper);
  g_free (instance->caller_address);
  g_free (instance->operator_address);
  g_free (instance->peer_address);
  g_free (instance);
}

const char *
instance_caller_address (const instance_t *instance)
{
  return instance->caller_address;
}

const char *
instance_operator_address (const instance_t *instance)
{
  return instance->operator_address;
}

const char *
instance_peer_address (const instance_t *instance)
{
  return instance->peer_address;
}
