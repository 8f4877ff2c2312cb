/* limit.h - the requests a second that a backend server takes from the whole
   fleet, as its answers name them, and the permits that keep to it.

   While a server names a limit, each call to it needs a permit: a right to one
   call within LIMIT_PERMIT_NS of its start.  One instance, the owner of the
   limit, grants the permits of the fleet (lib/permit.h).  It gives them slots
   that are one interval of the limit apart, so that all permits together keep
   the limit whoever holds them.  A permit ends by its holder's clock; one that
   was not spent goes back to the owner.

   A cold server (lib/pace/cold.h), or one that has just started
   (lib/pace/ramp.h), is one with a limit that it does not name.

   What is known of a limit has a version, which is higher at each change that
   any instance learns from an answer.  News of a lower version are old,
   however late they arrive.

   The functions read no clock and send nothing.  Times are in nanoseconds.  */

#ifndef KNAPWEEDFORK_LIMIT_H
#define KNAPWEEDFORK_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/clock.h>
#include <knapweedfork/event.h>

#include "pace/cold.h"
#include "pace/ramp.h"

/* Higher limits are cut to this.  */
#define LIMIT_MAX_PER_S 1e6
/* A server that takes none, or nearly none, is still tried at this rate: only
   its answer tells that the limit has ended.  */
#define LIMIT_MIN_PER_S 0.1
/* How long a permit may be spent after its start.  */
#define LIMIT_PERMIT_NS (500 * KWF_NS_PER_MS)
/* Permits that one instance holds for one server.  */
#define LIMIT_PERMITS_MAX 64
/* No request waits longer for a permit; the time of lower classes is a half
   and a quarter of it.  */
#define LIMIT_WAIT_MAX_NS (3 * KWF_NS_PER_S)
/* After its end a limit grows for this long before it is dropped, so that the
   load returns slowly.  */
#define LIMIT_RETURN_NS (2 * KWF_NS_PER_S)
/* A new owner takes account of the calls of this time.  */
#define LIMIT_WINDOW_NS (4 * KWF_NS_PER_S)
/* The same for the first owner after a limit is named: what was sent long
   before does not concern the limit.  */
#define LIMIT_BEFORE_NS (1 * KWF_NS_PER_S)
/* Counters of LIMIT_WINDOW_NS, and one that is being filled.  */
#define LIMIT_COUNTERS 9

typedef struct
{
  bool named;
  double rate_per_s;
  int64_t version;  /* 0: no limit has been named */
  int64_t named_ns; /* when this instance last learnt that it stands */
  int64_t ended_ns; /* when it learnt of the end; 0: it has not ended */
  bool named_in[KWF_ANSWER_KINDS]; /* answers of this kind have named it */
  bool unreadable;                 /* an answer had no valid number */
  int64_t alone_ns; /* when an answer named it here before any news: versions
                       of others may be higher and older; 0: none */

  cold_t cold;
  ramp_t ramp;

  /* Calls of this instance, whether or not there is a limit.  */
  int calls[LIMIT_COUNTERS]; /* the newest first */
  int64_t counted_ns;        /* start of the newest counter */

  /* The holder of permits.  */
  int64_t permits[LIMIT_PERMITS_MAX]; /* their starts, in order */
  int n_permits;
  int n_unspent;       /* permits that go back to the owner */
  int n_unpermitted;   /* calls without a permit that the owner has not been
                          told of */
  int n_waiting;       /* requests that wait for a permit */
  int64_t patience_ns; /* of the most patient of them */
  bool wished;         /* calls went elsewhere for want of a permit */
  int64_t wish_ns;     /* patience of these calls */
  uint64_t owner_hash;
  int64_t asked_ns; /* when the open question was sent to the owner; 0: there
                       is none */
  int64_t ask_number;
  int n_asked; /* permits in the open question */
  int64_t next_ask_ns;
  int64_t unanswered_ns; /* first question since the owner's last answer; 0:
                            none */
  int64_t self_ns;       /* when the last permit was taken without the owner */
  int64_t free_ns; /* start of the first free slot, as the owner last said */
  int n_refused;   /* callers that were told when to come back */

  /* The owner.  */
  int64_t slot_ns;    /* end of the last slot that was granted */
  int64_t hold_ns;    /* nothing is granted before this time */
  int64_t granted_ns; /* when a permit was last granted */
} limit_t;

typedef enum
{
  LIMIT_UNCHANGED,
  LIMIT_SET, /* named, or named with another rate */
  LIMIT_ENDED
} limit_change_t;

/* An answer was read.  ASKED_NS: when its request was sent.  An answer without
   a limit ends it only if the server was asked after this instance last learnt
   that the limit stands.  */
limit_change_t limit_handle_answer (limit_t *limit,
                                    const kwf_notice_event_t *answer,
                                    int64_t asked_ns, int64_t now_ns);

/* News of another instance.  */
limit_change_t limit_handle_news (limit_t *limit, int64_t version, bool named,
                                  double rate_per_s, int64_t now_ns);

/* The server has named a limit where none stood, or a lower one: forget the
   permits of earlier ones, and count for the owner what was sent lately.  */
void limit_begin (limit_t *limit, int64_t now_ns);
/* The server is a new process.  Its limit may have been read before the
   membership list showed the process, so it stands until an answer ends it. */
void limit_restart (limit_t *limit);
/* End a limit that no answer has confirmed.  */
void limit_end (limit_t *limit, int64_t now_ns);

/* Whether calls need a permit: the limit stands, or ended within
   LIMIT_RETURN_NS, or the server is cold or has just started.  */
bool limit_in_force (const limit_t *limit, int64_t now_ns);
/* Permits a second at NOW_NS.  */
double limit_rate (const limit_t *limit, int64_t now_ns);
/* Whether the limit is too low for a server that runs SLOTS requests at once
   to count as a copy of its models, or the server stays cold for long.  */
bool limit_is_scarce (const limit_t *limit, int slots, int64_t now_ns);

/* The holder.  */

/* Whether a call may be made now.  If not, a permit is asked for, in case a
   later call wants it: one that starts within PATIENCE_NS.  */
bool limit_may_call (limit_t *limit, int64_t patience_ns, int64_t now_ns);
/* A call is made: spend a permit or, if there is none, count the call for the
   owner.  */
void limit_count_call (limit_t *limit, int64_t now_ns);
/* Permits whose time is over go back, and so do those beyond what waits.  */
void limit_return_permits (limit_t *limit, int64_t now_ns);
/* The owner changed: permits that have not started are not valid any more, and
   the new owner is told of the calls of the last LIMIT_WINDOW_NS.  */
void limit_change_owner (limit_t *limit, uint64_t owner_hash, int64_t now_ns);
/* Number of permits to ask for now, and the patience of what they are for; 0:
   none.  */
int limit_wanted (const limit_t *limit, int64_t now_ns, int64_t *patience_ns);
/* Take N permits that were asked for at ASKED_NS and start START_NS after it,
   SPACING_NS apart.  */
void limit_take_permits (limit_t *limit, int n, int64_t asked_ns,
                         int64_t start_ns, int64_t spacing_ns, int64_t now_ns);
/* Time until a request can be sent before which AHEAD others wait; 0: not
   known.  */
int64_t limit_start_in_ns (const limit_t *limit, int ahead, int64_t now_ns);
/* Time after which a caller of PRIORITY that is refused now is to come back,
   when N_INSTANCES share the limit.  */
int64_t limit_retry_after_ns (limit_t *limit, int priority, int n_instances,
                              int64_t now_ns);
/* The instances that share a rate without an owner.  */
typedef struct
{
  int n_live;    /* as far as this instance can see */
  int n_members; /* of the fleet */
  double phase;  /* 0 to 1, drawn for each instance and server */
} limit_sharers_t;

/* The owner does not answer, and the limit has ended, or is that of a server
   that may be cold: take a permit without it, at this instance's part of the
   rate.  After an end what waits is thus not sent all at once when the limit
   is dropped; an instance without contact goes on.  */
void limit_take_alone (limit_t *limit, const limit_sharers_t *sharers,
                       int64_t now_ns);
/* When the permits next need attention.  */
int64_t limit_next_ns (const limit_t *limit, const limit_sharers_t *sharers,
                       int64_t now_ns);

/* The owner.  SHARE: part of the limit that it may grant.  */

typedef struct
{
  int n;
  int64_t start_ns; /* start of the first slot, after NOW_NS; may be before
                       it */
  int64_t spacing_ns;
  int64_t free_ns; /* start of the first slot that is left, after NOW_NS */
} limit_grant_t;

/* This instance may be the owner from now on.  It grants nothing until the
   others have told what they sent within SPAN_NS.  */
void limit_hold_grants (limit_t *limit, int64_t span_ns, int64_t now_ns);
limit_grant_t limit_grant (limit_t *limit, int n, int64_t patience_ns,
                           double share, int64_t now_ns);
/* N calls were made without a permit; N permits were not spent.  */
void limit_charge (limit_t *limit, int n, double share, int64_t now_ns);
void limit_refund (limit_t *limit, int n, double share, int64_t now_ns);

#endif
