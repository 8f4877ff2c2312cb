/* Hands requests over to another instance, because this one is stranded.  The
   other one treats the request as if its caller had sent it there: it admits,
   limits, sends and retries it.  Its answer goes to the caller unchanged, so
   that what it promises holds.  A request is handed over once: an instance
   that gets one does not hand it on.

   docs/design/stranded.md  */

#include "request.h"

#include <string.h>
#include <xxhash.h>

#include "error-code.h"
#include "evacuation/home.h"
#include "promise.h"
#include "stranded.h"

#define HTTP_MISDIRECTED 421
/* Handles of handovers have this bit, and those of attempts do not.  */
#define HANDOVER_BIT ((kwf_handle_t)1 << 63)
/* Instances to which one request is sent.  */
#define HANDOVERS_MAX 2
/* A stream without an event for so long goes on elsewhere.  */
#define STREAM_SILENT_NS (500 * KWF_NS_PER_MS)

bool
handover_is (kwf_handle_t handle)
{
  return handle & HANDOVER_BIT;
}

/* Whether another instance may run REQUEST, or go on with it, once no attempt
   is under way here.  */
static bool
may_run_elsewhere (const kwf_core_t *core, const request_t *request)
{
  if (request->kind != KWF_REQUEST_ROUTED || request->handed_over
      || request->at_most_once || request->handover
      || request->n_handovers >= HANDOVERS_MAX
      || request->n_arrived >= request->max_attempts
      || !session_may_act (core->session))
    return false;
  return request_has_begun (request) ? request_can_go_on (request)
                                     : request->idempotent || !request->n_ran;
}

/* Whether MEMBER may take REQUEST.  */
static bool
may_take (const kwf_core_t *core, const request_t *request,
          const session_member_t *member)
{
  if (!member->linked || member->leaving || !member->caller_address
      || !*member->caller_address || stranded_is_member (core, member)
      || (regions_bit (core->regions, member->data_centre)
          & home_excluded (core, request)))
    return false;
  /* Other builds do not count the attempts that were made here.  */
  if (request->n_arrived
      && !stranded_has_told (core->stranded, member->instance,
                             member->incarnation))
    return false;
  uint64_t hash = XXH3_64bits (member->instance, strlen (member->instance));
  return !request->n_handovers || request->handed_to != hash;
}

/* The less loaded of two of the instances that may take REQUEST; instances of
   builds that do not tell whether they are stranded come last.  */
static bool
choose_instance (kwf_core_t *core, const request_t *request,
                 session_member_t *chosen)
{
  GArray *known = g_array_new (FALSE, FALSE, sizeof (session_member_t));
  GArray *others = g_array_new (FALSE, FALSE, sizeof (session_member_t));
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (core->session, &at, &member))
    if (may_take (core, request, &member))
      g_array_append_val (stranded_has_told (core->stranded, member.instance,
                                             member.incarnation)
                              ? known
                              : others,
                          member);
  const GArray *list = known->len ? known : others;
  if (list->len)
    {
      uint64_t random;
      core->options.random->ops->fill (core->options.random, &random,
                                       sizeof random);
      guint first = (guint)(random % list->len);
      guint second = (guint)((random >> 32) % list->len);
      const session_member_t *one
          = &g_array_index (list, session_member_t, first);
      const session_member_t *two
          = &g_array_index (list, session_member_t, second);
      *chosen = two->load < one->load ? *two : *one;
    }
  bool found = list->len > 0;
  g_array_unref (known);
  g_array_unref (others);
  return found;
}

/* Takes a repeat of the retry budget if REQUEST has reached a server or may
   have; false when none is left.  */
static bool
take_repeat (kwf_core_t *core, request_t *request)
{
  if (!request->n_arrived)
    return true;
  if (request->resume_taken_ns)
    {
      retry_budget_move (core->retries, request->service,
                         request->resume_taken_ns);
      request->resume_taken_ns = 0;
      return true;
    }
  return retry_budget_take (core->retries, request->service,
                            request_has_begun (request) ? REPEAT_RESUME
                                                        : REPEAT_RETRY);
}

/* The other instance charges for it.  */
static void
give_tokens_back (kwf_core_t *core, request_t *request)
{
  if (request->charged > 0)
    shares_refund (core->shares, request->organisation, request->charged);
  request->charged = 0;
}

static void
hand_over (kwf_core_t *core, request_t *request,
           const session_member_t *member, kwf_effects_t *effects)
{
  wait_remove_request (core, request, false);
  give_tokens_back (core, request);
  request->state = REQUEST_HANDED_OVER;
  request->queued_since_ns = 0;
  request->handover = HANDOVER_BIT | ++core->n_handovers;
  request->handed_to
      = XXH3_64bits (member->instance, strlen (member->instance));
  request->n_handovers++;
  request_set_action (core, request, 0);
  kwf_effects_log (effects, 263, KWF_LOG_INFO, request->id,
                   "handed over to instance=%s delivered=%" G_GINT64_FORMAT
                   " ran=%d",
                   member->instance, request->delivered, request->n_ran);
  /* Until its answer says otherwise, it may have run there.  */
  request->n_ran++;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ATTEMPT_START);
  effect->start = (kwf_attempt_start_t){
    .request = request->handle,
    .attempt = request->handover,
    .server = kwf_effects_strdup (effects, member->instance),
    .address = kwf_effects_strdup (effects, member->caller_address),
    .deadline_ns = request->deadline_ns,
    .resume_from = request->delivered,
    .priority = request->priority,
    .resumes = request_has_begun (request),
    .repeatable = request->idempotent,
    .stream = request->stream,
    .organisation = "",
    .handed_attempts = request->max_attempts - request->n_arrived,
  };
}

bool
handover_start (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  session_member_t member;
  if (!stranded_is_self (core) || request->attempt
      || !may_run_elsewhere (core, request)
      || !choose_instance (core, request, &member)
      || !take_repeat (core, request))
    return false;
  hand_over (core, request, &member, effects);
  return true;
}

void
handover_cancel (request_t *request, kwf_effects_t *effects)
{
  if (!request->handover)
    return;
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_ATTEMPT_CANCEL);
  effect->attempt.request = request->handle;
  effect->attempt.attempt = request->handover;
  request->handover = 0;
}

bool
handover_may_send (const kwf_core_t *core)
{
  return session_may_act (core->session);
}

static request_t *
find_request (const kwf_core_t *core, const kwf_attempt_event_t *event)
{
  request_t *request = request_find (core, event->request);
  return request && request->handover == event->attempt ? request : NULL;
}

static void
add_effect (kwf_effects_t *effects, kwf_effect_type_t type,
            const request_t *request)
{
  kwf_effect_t *effect = kwf_effects_add (effects, type);
  effect->attempt.request = request->handle;
  effect->attempt.attempt = request->handover;
}

static void
break_off (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  request_fail (core, request, CODE_STREAM_BROKEN, -1,
                "the stream broke and does not go on at another instance",
                effects);
}

void
handover_data (kwf_core_t *core, const kwf_attempt_event_t *event,
               kwf_effects_t *effects)
{
  request_t *request = find_request (core, event);
  if (!request)
    return;
  if (event->gap
      && delivery_action (request->delivery, DELIVERY_GAP) == DELIVER_RETRY)
    {
      break_off (core, request, effects);
      return;
    }
  int64_t now_ns = kwf_now_ns (core->options.clock);
  if (!request->first_data_ns)
    request->first_data_ns = now_ns;
  request->last_data_ns = now_ns;
  request->no_resume = event->no_resume;
  if (delivery_step (&request->delivery, delivery_events (event->by_close))
      != DELIVER_NOTHING)
    add_effect (effects, KWF_FX_FORWARD, request);
}

/* Handles an answer that is not passed on as it is; false: it is.  */
static bool
handle_refusal (kwf_core_t *core, request_t *request, int status,
                kwf_effects_t *effects)
{
  if (!promise_is_made_by (status))
    return false;
  kwf_handle_t handover = request->handover;
  request->handover = 0;
  request->n_ran--;
  if (status == HTTP_MISDIRECTED && handover_start (core, request, effects))
    return true;
  request->handover = handover;
  /* That it did not run there says nothing of the attempts made here.  */
  if (!request->n_ran || request_has_begun (request))
    return false;
  request_fail (core, request, CODE_NO_SERVER, -1,
                "no server of another instance can take the request", effects);
  return true;
}

void
handover_end (kwf_core_t *core, const kwf_attempt_event_t *event,
              kwf_effects_t *effects)
{
  request_t *request = find_request (core, event);
  if (!request)
    return;
  if (handle_refusal (core, request, event->status, effects))
    return;
  bool stream = event->status / 100 == 2 && !event->body;
  delivery_input_t input = event->gap ? DELIVERY_GAP
                           : stream   ? delivery_end (event->by_close)
                                      : delivery_answer (event->by_close);
  if (delivery_action (request->delivery, input) == DELIVER_RETRY)
    {
      break_off (core, request, effects);
      return;
    }
  if (delivery_step (&request->delivery, input) != DELIVER_NOTHING)
    add_effect (effects, KWF_FX_FORWARD_END, request);
  request->handover = 0;
  request_end (core, request, CODE_OK, effects);
}

void
handover_failed (kwf_core_t *core, const kwf_attempt_event_t *event,
                 kwf_effects_t *effects)
{
  request_t *request = find_request (core, event);
  if (!request)
    return;
  bool unsent = event->failure == KWF_FAIL_REFUSED
                || event->failure == KWF_FAIL_CONNECT
                || event->failure == KWF_FAIL_NOT_SENT;
  kwf_effects_log (effects, 264, KWF_LOG_INFO, request->id,
                   "not answered by the instance to which it was handed over; "
                   "sent=%d",
                   !unsent);
  request->handover = 0;
  if (unsent)
    request->n_ran--;
  else
    request->n_arrived++;
  if (request_has_begun (request) && !request_can_go_on (request))
    break_off (core, request, effects);
  else if (!unsent && !request->idempotent)
    request_refuse (core, request,
                    &(refusal_t){ .code = CODE_OUTCOME_UNKNOWN,
                                  .run = KWF_RUN_UNKNOWN,
                                  .retry_after_ms = -1,
                                  .message = "the call was handed over to "
                                             "another instance, and no answer "
                                             "came" },
                    effects);
  else if (!handover_start (core, request, effects))
    request_fail (core, request, CODE_NO_SERVER, 0,
                  "no backend server answers this instance: use another "
                  "address",
                  effects);
}

bool
handover_refuse (kwf_core_t *core, request_t *request, kwf_effects_t *effects)
{
  if (!request->handed_over || !stranded_may_be_self (core))
    return false;
  request_fail (core, request, CODE_INSTANCE_STRANDED, 0,
                "no backend server answers this instance: use another address",
                effects);
  return true;
}

/* Whether REQUEST waits in vain at a server: it may be run elsewhere, and
   nothing of its answer came, or nothing more.  */
static bool
hangs (const request_t *request, int64_t now_ns)
{
  if (!request->attempt || !request->idempotent)
    return false;
  if (!request_has_begun (request))
    return request->state == REQUEST_SENT;
  return request->state == REQUEST_STREAMING && request_can_go_on (request)
         && now_ns - request->last_data_ns >= STREAM_SILENT_NS;
}

void
handover_open_requests (kwf_core_t *core, kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (core->options.clock);
  GList *open = g_hash_table_get_values (core->requests);
  for (GList *item = open; item; item = item->next)
    {
      request_t *request = item->data;
      session_member_t member;
      bool queued = request->state == REQUEST_QUEUED && !request->attempt;
      if ((!queued && !hangs (request, now_ns))
          || handover_refuse (core, request, effects)
          || !may_run_elsewhere (core, request)
          || !choose_instance (core, request, &member)
          || !take_repeat (core, request))
        continue;
      if (request->hedge)
        attempt_cancel (core, request->hedge, effects);
      if (request->attempt)
        attempt_cancel (core, request->attempt, effects);
      hand_over (core, request, &member, effects);
    }
  g_list_free (open);
}
