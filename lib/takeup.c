/* Streams of several software versions: what a stream that has begun, or that
   a caller takes up, may go on at.  */

#include "request.h"

#include <string.h>

#include "origin/origin.h"

/* Time between two looks for a record that may still arrive.  */
#define LOOK_NS (50 * KWF_NS_PER_MS)
/* The same for the tables being current enough.  */
#define CURRENCY_LOOK_NS (10 * KWF_NS_PER_MS)
/* A request waits no longer for that.  */
#define CURRENCY_WAIT_NS (500 * KWF_NS_PER_MS)
/* A caller needs longer from the break of its stream to the arrival of the
   request that takes it up.  */
#define RETURN_NS (5 * KWF_NS_PER_MS)
/* At the end of the time in which a record arrives the table is read once
   more, this long before it.  */
#define LAST_READ_NS (100 * KWF_NS_PER_MS)

void
takeup_init (request_t *request, const kwf_request_event_t *event)
{
  const char *id = event->resuming ? event->resumes : event->id;
  if (id)
    request->origin_key
        = origin_key (request->service, request->organisation, id);
}

static void
refuse (kwf_core_t *core, request_t *request, const char *message,
        kwf_effects_t *effects)
{
  request_fail (core, request, CODE_ORIGIN_UNKNOWN, -1, message, effects);
}

/* There is no record.  Returns whether REQUEST may go on at the only version
   that is known; otherwise it waits, or was refused.  */
static bool
goes_on_at_only_version (kwf_core_t *core, request_t *request, int64_t now_ns,
                         kwf_effects_t *effects)
{
  currency_word_t word = currency_check (core->currency, core->session,
                                         request->arrived_ns - RETURN_NS);
  if (word == CURRENCY_OPEN && now_ns - request->arrived_ns < CURRENCY_WAIT_NS)
    {
      currency_ask (core->currency, core->session, effects);
      attempt_schedule (core, request, now_ns + CURRENCY_LOOK_NS, now_ns);
      return false;
    }
  char *state = kwf_effects_printf (
      effects,
      "service=%s servers_age_ms=%lld table_age_ms=%lld waited_ms=%lld",
      request->service,
      (long long)(currency_age_ns (core->currency, KWF_TABLE_SERVERS)
                  / KWF_NS_PER_MS),
      (long long)(currency_age_ns (core->currency, KWF_TABLE_OWN)
                  / KWF_NS_PER_MS),
      (long long)((now_ns - request->arrived_ns) / KWF_NS_PER_MS));
  if (word == CURRENCY_SHOWN)
    {
      kwf_effects_log (effects, 258, KWF_LOG_INFO, request->id,
                       "takes a stream up at the only software version; %s",
                       state);
      return true;
    }
  kwf_effects_log (effects, 259, KWF_LOG_INFO, request->id,
                   "a stream does not go on at the only software version that "
                   "is known, there may be others; %s",
                   state);
  refuse (core, request,
          "the stream cannot go on here: this instance may not know what "
          "began it",
          effects);
  return false;
}

/* Several versions are known, and no record.  REQUEST waits for one, or is
   refused.  */
static void
wait_for_record (kwf_core_t *core, request_t *request, int64_t now_ns,
                 kwf_effects_t *effects)
{
  int64_t end_ns = request->arrived_ns + origins_delay_ns (core->origins);
  int64_t read_ns = end_ns - LAST_READ_NS;
  if (request->origin_key && now_ns < end_ns)
    {
      if (now_ns >= read_ns
          && !currency_is_dated (core->currency, KWF_TABLE_OWN, read_ns))
        currency_ask (core->currency, core->session, effects);
      attempt_schedule (core, request, now_ns + LOOK_NS, now_ns);
      return;
    }
  kwf_effects_log (effects, 277, KWF_LOG_INFO, request->id,
                   "the software version that began its stream of service=%s "
                   "is not known; it does not go on",
                   request->service);
  refuse (core, request, "the stream cannot go on: what began it is not known",
          effects);
}

bool
takeup_find_origin (kwf_core_t *core, request_t *request, int64_t now_ns,
                    kwf_effects_t *effects)
{
  if (!request->resuming || !request->resumable || request->has_origin)
    return true;
  switch (origins_find (core->origins, request->service, request->origin_key,
                        &request->origin))
    {
    case ORIGIN_RECORDED:
      break;
    case ORIGIN_ONLY:
      if (!goes_on_at_only_version (core, request, now_ns, effects))
        return false;
      break;
    default:
      wait_for_record (core, request, now_ns, effects);
      return false;
    }
  request->has_origin = true;
  return true;
}

static bool
was_started_anew (const attempt_t *attempt)
{
  return attempt->incarnation != attempt->server->incarnation
         && attempt->software != attempt->server->software;
}

bool
takeup_is_foreign (const attempt_t *attempt)
{
  return attempt->request->has_origin && !attempt->answered
         && was_started_anew (attempt);
}

void
takeup_note_events (kwf_core_t *core, const attempt_t *attempt)
{
  request_t *request = attempt->request;
  if (!request->resumable || !request->stream || request->delivered)
    return;
  /* Either process may have made them: the stream cannot go on.  */
  if (was_started_anew (attempt))
    {
      request->resumable = false;
      return;
    }
  request->has_origin = true;
  request->origin = attempt->software;
  if (request->origin_key)
    origins_begin (core->origins, request->service, request->origin_key,
                   attempt->software);
}
