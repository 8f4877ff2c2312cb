#include "limit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define COUNTER_NS (KWF_NS_PER_S / 2)

/* Slots that passed unused may be granted later, up to this part of a second
   of the limit and within these numbers.  */
#define BURST_S 0.25
#define BURST_MIN 1.0
#define BURST_MAX 3.0
/* Calls without a permit delay the next slot by at most this time, over which
   servers judge their limit.  */
#define CHARGE_MAX_NS (4 * KWF_NS_PER_S)
/* Time in which the instances tell a new owner what they sent before.  */
#define HOLD_NS (250 * KWF_NS_PER_MS)
/* A new process is tried at this rate at least.  */
#define RESTART_MIN_PER_S 1.0
/* Time in which the rate of a limit that ended doubles.  */
#define RETURN_DOUBLE_NS (250 * KWF_NS_PER_MS)
/* An owner that does not answer within this time is asked again.  */
#define ASK_TIMEOUT_NS (300 * KWF_NS_PER_MS)
/* What others know of a limit that an answer named to an instance without any
   news of it reaches that instance within this time.  */
#define ALONE_NS (1 * KWF_NS_PER_S)
/* Callers come back within this time.  */
#define RETURN_SPREAD_NS (5 * KWF_NS_PER_S)
/* A limit that lets a server's slots fill within this time costs it no
   copies.  */
#define SCARCE_FILL_S 4.0

/* What is known.  */

static void
set_named (limit_t *limit, double rate_per_s, int64_t version, int64_t now_ns)
{
  limit->named = true;
  limit->rate_per_s = rate_per_s;
  limit->version = version;
  limit->named_ns = now_ns;
  limit->ended_ns = 0;
}

static void
set_ended (limit_t *limit, int64_t version, int64_t now_ns)
{
  limit->named = false;
  limit->version = version;
  limit->ended_ns = now_ns;
}

static limit_change_t
handle_named (limit_t *limit, const kwf_notice_event_t *answer, int64_t now_ns)
{
  double rate_per_s = MIN (answer->limit_per_s, LIMIT_MAX_PER_S);
  limit->named_in[answer->kind] = true;
  limit->named_ns = now_ns;
  if (limit->named && limit->rate_per_s == rate_per_s)
    return LIMIT_UNCHANGED;
  limit->alone_ns = limit->version ? 0 : now_ns;
  set_named (limit, rate_per_s, limit->version + 1, now_ns);
  return LIMIT_SET;
}

limit_change_t
limit_handle_answer (limit_t *limit, const kwf_notice_event_t *answer,
                     int64_t asked_ns, int64_t now_ns)
{
  if (answer->limit == KWF_LIMIT_NAMED)
    return handle_named (limit, answer, now_ns);
  /* Reports and answers to orders that have never named the limit say nothing
     of it.  */
  bool says
      = answer->kind == KWF_ANSWER_REQUEST || limit->named_in[answer->kind];
  if (answer->limit == KWF_LIMIT_UNREADABLE || !limit->named
      || !answer->success || !says || asked_ns <= limit->named_ns)
    return LIMIT_UNCHANGED;
  set_ended (limit, limit->version + 1, now_ns);
  return LIMIT_ENDED;
}

/* Of two changes that instances learnt at the same time, all choose the same
   one: a limit before its end, and the lower limit.  */
static bool
is_news (const limit_t *limit, int64_t version, bool named, double rate_per_s)
{
  if (version != limit->version)
    return version > limit->version;
  return named && (!limit->named || rate_per_s < limit->rate_per_s);
}

limit_change_t
limit_handle_news (limit_t *limit, int64_t version, bool named,
                   double rate_per_s, int64_t now_ns)
{
  if (!is_news (limit, version, named, rate_per_s))
    return LIMIT_UNCHANGED;
  /* The end may be that of an earlier limit.  If it is not, the next answer
     tells.  */
  bool keeps = limit->named && !named && limit->alone_ns
               && now_ns - limit->alone_ns < ALONE_NS;
  limit->alone_ns = 0;
  if (keeps)
    {
      limit->version = version + 1;
      return LIMIT_SET;
    }
  if (named)
    {
      set_named (limit, MIN (rate_per_s, LIMIT_MAX_PER_S), version, now_ns);
      return LIMIT_SET;
    }
  bool was_named = limit->named;
  set_ended (limit, version, now_ns);
  return was_named ? LIMIT_ENDED : LIMIT_UNCHANGED;
}

/* Move the counters on to NOW_NS.  */
static void
advance_counters (limit_t *limit, int64_t now_ns)
{
  int64_t n = (now_ns - limit->counted_ns) / COUNTER_NS;
  if (n <= 0)
    return;
  limit->counted_ns += n * COUNTER_NS;
  int shift = (int)MIN (n, LIMIT_COUNTERS);
  memmove (limit->calls + shift, limit->calls,
           (size_t)(LIMIT_COUNTERS - shift) * sizeof *limit->calls);
  memset (limit->calls, 0, (size_t)shift * sizeof *limit->calls);
}

static int
recent_calls (limit_t *limit, int64_t span_ns, int64_t now_ns)
{
  int n = 0;
  advance_counters (limit, now_ns);
  for (int i = 0; i <= span_ns / COUNTER_NS; i++)
    n += limit->calls[i];
  return n;
}

void
limit_begin (limit_t *limit, int64_t now_ns)
{
  limit->n_permits = 0;
  limit->n_unspent = 0;
  limit->n_unpermitted = recent_calls (limit, LIMIT_BEFORE_NS, now_ns);
  limit->owner_hash = 0;
  limit->asked_ns = 0;
  limit->unanswered_ns = 0;
  limit->next_ask_ns = now_ns;
  limit->free_ns = 0;
  limit_hold_grants (limit, LIMIT_BEFORE_NS, now_ns);
}

void
limit_restart (limit_t *limit)
{
  limit_t next = { .counted_ns = limit->counted_ns };
  memcpy (next.calls, limit->calls, sizeof next.calls);
  if (limit->named)
    {
      next.named = true;
      next.rate_per_s = MAX (limit->rate_per_s, RESTART_MIN_PER_S);
      next.version = limit->version;
      next.named_ns = limit->named_ns;
      next.slot_ns = limit->slot_ns;
    }
  next.cold = limit->cold;
  cold_restart (&next.cold);
  next.ramp.started = true;
  *limit = next;
}

void
limit_end (limit_t *limit, int64_t now_ns)
{
  set_ended (limit, limit->version + 1, now_ns);
}

bool
limit_in_force (const limit_t *limit, int64_t now_ns)
{
  return limit->named
         || (limit->ended_ns && now_ns - limit->ended_ns < LIMIT_RETURN_NS)
         || cold_state (&limit->cold, now_ns) != COLD_OVER
         || ramp_stands (&limit->ramp, now_ns);
}

/* The rate that the server named, or the growing one after its end.  */
static double
named_rate (const limit_t *limit, int64_t now_ns)
{
  if (limit->named)
    return MAX (limit->rate_per_s, LIMIT_MIN_PER_S);
  if (!limit->ended_ns)
    return LIMIT_MAX_PER_S;
  double doublings
      = (double)(now_ns - limit->ended_ns) / (double)RETURN_DOUBLE_NS;
  return MIN (MAX (limit->rate_per_s, 1) * exp2 (doublings), LIMIT_MAX_PER_S);
}

double
limit_rate (const limit_t *limit, int64_t now_ns)
{
  double cold_per_s = MAX (cold_rate (&limit->cold, now_ns), LIMIT_MIN_PER_S);
  double started_per_s = ramp_rate (&limit->ramp, now_ns);
  return MIN (named_rate (limit, now_ns), MIN (cold_per_s, started_per_s));
}

bool
limit_is_scarce (const limit_t *limit, int slots, int64_t now_ns)
{
  return (limit->named && limit->rate_per_s * SCARCE_FILL_S < slots)
         || cold_is_scarce (&limit->cold, now_ns);
}

/* The holder.  */

static int64_t
permit_ns (const limit_t *limit, int64_t now_ns)
{
  return cold_stands (&limit->cold, now_ns) ? COLD_PERMIT_NS : LIMIT_PERMIT_NS;
}

static bool
has_ended (const limit_t *limit, int64_t start_ns, int64_t now_ns)
{
  return now_ns - start_ns > permit_ns (limit, now_ns);
}

static void
drop_permits (limit_t *limit, int at, int n)
{
  memmove (limit->permits + at, limit->permits + at + n,
           (size_t)(limit->n_permits - at - n) * sizeof *limit->permits);
  limit->n_permits -= n;
}

static void
return_ended (limit_t *limit, int64_t now_ns)
{
  int n = 0;
  while (n < limit->n_permits && has_ended (limit, limit->permits[n], now_ns))
    n++;
  drop_permits (limit, 0, n);
  limit->n_unspent += n;
}

bool
limit_may_call (limit_t *limit, int64_t patience_ns, int64_t now_ns)
{
  if (!limit_in_force (limit, now_ns))
    return true;
  return_ended (limit, now_ns);
  if (limit->n_permits && limit->permits[0] <= now_ns)
    return true;
  limit->wish_ns
      = limit->wished ? MAX (limit->wish_ns, patience_ns) : patience_ns;
  limit->wished = true;
  return false;
}

void
limit_count_call (limit_t *limit, int64_t now_ns)
{
  advance_counters (limit, now_ns);
  limit->calls[0]++;
  if (!limit_in_force (limit, now_ns))
    return;
  return_ended (limit, now_ns);
  if (limit->n_permits && limit->permits[0] <= now_ns)
    drop_permits (limit, 0, 1);
  else
    limit->n_unpermitted++;
}

void
limit_return_permits (limit_t *limit, int64_t now_ns)
{
  return_ended (limit, now_ns);
  /* One is kept for the next request.  */
  int n = MAX (limit->n_permits - MAX (limit->n_waiting, 1), 0);
  drop_permits (limit, limit->n_permits - n, n);
  limit->n_unspent += n;
}

void
limit_change_owner (limit_t *limit, uint64_t owner_hash, int64_t now_ns)
{
  if (limit->owner_hash == owner_hash)
    return;
  if (limit->owner_hash)
    limit->n_unpermitted = recent_calls (limit, LIMIT_WINDOW_NS, now_ns);
  limit->owner_hash = owner_hash;
  int n = 0;
  while (n < limit->n_permits && limit->permits[n] <= now_ns)
    n++;
  limit->n_permits = n;
  limit->n_unspent = 0;
  limit->asked_ns = 0;
  limit->next_ask_ns = now_ns;
  limit->free_ns = 0;
}

int
limit_wanted (const limit_t *limit, int64_t now_ns, int64_t *patience_ns)
{
  if (now_ns < limit->next_ask_ns
      || (limit->asked_ns && now_ns - limit->asked_ns < ASK_TIMEOUT_NS))
    return 0;
  int n = MIN (limit->n_waiting, LIMIT_PERMITS_MAX) - limit->n_permits;
  *patience_ns = limit->patience_ns;
  if (n > 0)
    return n;
  *patience_ns = limit->wish_ns;
  return limit->wished && !limit->n_permits;
}

void
limit_take_permits (limit_t *limit, int n, int64_t asked_ns, int64_t start_ns,
                    int64_t spacing_ns, int64_t now_ns)
{
  for (int i = 0; i < n; i++)
    {
      int64_t at_ns = asked_ns + MAX (start_ns + i * spacing_ns, 0);
      if (limit->n_permits == LIMIT_PERMITS_MAX
          || has_ended (limit, at_ns, now_ns))
        {
          limit->n_unspent++;
          continue;
        }
      int at = limit->n_permits++;
      for (; at > 0 && limit->permits[at - 1] > at_ns; at--)
        limit->permits[at] = limit->permits[at - 1];
      limit->permits[at] = at_ns;
    }
}

int64_t
limit_start_in_ns (const limit_t *limit, int ahead, int64_t now_ns)
{
  if (ahead < limit->n_permits)
    return MAX (limit->permits[ahead] - now_ns, 1);
  return MAX (limit->free_ns - now_ns, 0);
}

int64_t
limit_retry_after_ns (limit_t *limit, int priority, int n_instances,
                      int64_t now_ns)
{
  /* Callers of lower classes leave room between them for those of higher
     classes.  */
  double spacing_s
      = n_instances / limit_rate (limit, now_ns) * (1 + MAX (priority, 0));
  double turn_s = fmod (limit->n_refused++ * spacing_s,
                        (double)RETURN_SPREAD_NS / (double)KWF_NS_PER_S);
  return MAX (limit->free_ns - now_ns, 0)
         + (int64_t)(turn_s * (double)KWF_NS_PER_S);
}

/* When the next permit may be taken without the owner; INT64_MAX: the owner
   decides.  */
static int64_t
self_slot_ns (const limit_t *limit, const limit_sharers_t *sharers,
              int64_t now_ns)
{
  cold_state_t cold = cold_state (&limit->cold, now_ns);
  if (limit->named || cold == COLD_ANNOUNCED || !limit->unanswered_ns
      || limit->n_waiting <= limit->n_permits)
    return INT64_MAX;
  bool may_be_cold = cold == COLD_ASSUMED;
  int n = may_be_cold ? sharers->n_members : sharers->n_live;
  double spacing_ns = (double)KWF_NS_PER_S * n / limit_rate (limit, now_ns);
  int64_t first_ns = limit->unanswered_ns + ASK_TIMEOUT_NS;
  /* The first permits of many instances without an owner are spread over the
     time in which each gets one.  */
  if (may_be_cold)
    first_ns += (int64_t)(sharers->phase * spacing_ns);
  return MAX (first_ns, limit->self_ns + (int64_t)spacing_ns);
}

void
limit_take_alone (limit_t *limit, const limit_sharers_t *sharers,
                  int64_t now_ns)
{
  if (now_ns < self_slot_ns (limit, sharers, now_ns))
    return;
  limit->self_ns = now_ns;
  limit_take_permits (limit, 1, now_ns, 0, 0, now_ns);
}

int64_t
limit_next_ns (const limit_t *limit, const limit_sharers_t *sharers,
               int64_t now_ns)
{
  int64_t next_ns = INT64_MAX;
  if (limit->n_permits && limit->permits[0] > now_ns)
    next_ns = limit->permits[0];
  else if (limit->n_permits)
    next_ns = limit->permits[0] + permit_ns (limit, now_ns) + 1;
  if (limit->n_waiting > limit->n_permits || limit->wished)
    next_ns = MIN (next_ns, limit->asked_ns ? limit->asked_ns + ASK_TIMEOUT_NS
                                            : limit->next_ask_ns);
  return MIN (next_ns, self_slot_ns (limit, sharers, now_ns));
}

/* The owner.  */

static int64_t
interval_ns (const limit_t *limit, double share, int64_t now_ns)
{
  return (int64_t)((double)KWF_NS_PER_S
                   / (limit_rate (limit, now_ns) * share));
}

/* Slots that have passed are lost, except for the burst.  */
static void
drop_passed_slots (limit_t *limit, int64_t slot_interval_ns, int64_t now_ns)
{
  double burst
      = CLAMP (limit_rate (limit, now_ns) * BURST_S, BURST_MIN, BURST_MAX);
  limit->slot_ns = MAX (limit->slot_ns,
                        now_ns - (int64_t)(burst * (double)slot_interval_ns));
}

void
limit_hold_grants (limit_t *limit, int64_t span_ns, int64_t now_ns)
{
  limit->slot_ns = MAX (limit->slot_ns, now_ns - span_ns);
  limit->hold_ns
      = now_ns + (cold_stands (&limit->cold, now_ns) ? COLD_HOLD_NS : HOLD_NS);
  limit->granted_ns = now_ns;
}

limit_grant_t
limit_grant (limit_t *limit, int n, int64_t patience_ns, double share,
             int64_t now_ns)
{
  limit_grant_t grant = { .spacing_ns = interval_ns (limit, share, now_ns) };
  if (now_ns < limit->hold_ns)
    {
      grant.free_ns = MAX (limit->hold_ns, limit->slot_ns) - now_ns;
      return grant;
    }
  drop_passed_slots (limit, grant.spacing_ns, now_ns);
  if (cold_stands (&limit->cold, now_ns))
    patience_ns = MIN (patience_ns, COLD_HORIZON_NS);
  if (ramp_stands (&limit->ramp, now_ns))
    patience_ns = MIN (patience_ns, RAMP_HORIZON_NS);
  grant.start_ns = limit->slot_ns - now_ns;
  while (grant.n < n && limit->slot_ns <= now_ns + patience_ns)
    {
      limit->slot_ns += grant.spacing_ns;
      grant.n++;
    }
  grant.free_ns = MAX (limit->slot_ns - now_ns, 0);
  if (grant.n)
    limit->granted_ns = now_ns;
  ramp_count_grant (&limit->ramp, n, grant.n, now_ns);
  return grant;
}

void
limit_charge (limit_t *limit, int n, double share, int64_t now_ns)
{
  int64_t slot_interval_ns = interval_ns (limit, share, now_ns);
  if (now_ns >= limit->hold_ns)
    drop_passed_slots (limit, slot_interval_ns, now_ns);
  int64_t most_ns
      = cold_stands (&limit->cold, now_ns) ? COLD_CHARGE_NS : CHARGE_MAX_NS;
  limit->slot_ns
      = MAX (limit->slot_ns,
             MIN (limit->slot_ns + n * slot_interval_ns, now_ns + most_ns));
}

void
limit_refund (limit_t *limit, int n, double share, int64_t now_ns)
{
  /* A slot that is granted again could be spent beside those after it, and the
     rate at a cold server is judged over a second.  */
  if (!cold_stands (&limit->cold, now_ns))
    limit->slot_ns -= n * interval_ns (limit, share, now_ns);
}
