/* cold.h - whether a backend server is cold: for some time after its start,
   and whenever it becomes cold again, it can handle only a few requests a
   second, and crashes at a rate well above that.

   Load pattern: servers restart during traffic or become cold at any moment,
   up to all servers of a data centre at once, and instances learn of it at
   different times or, when frozen or cut off, not at all.

   A server counts as cold while it is known to be cold, and while its age is
   not known: from the first sight of its process for as long as a start makes
   it cold.  An instance that had no contact with the others doubts what it
   knows.  lib/limit.h turns a cold server into one with a limit.

   The functions read no clock.  Times are in nanoseconds.  */

#ifndef KNAPWEEDFORK_PACE_COLD_H
#define KNAPWEEDFORK_PACE_COLD_H

#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/clock.h>

/* A server is never cold for longer; longer times are invalid.  */
#define COLD_MAX_NS (600 * KWF_NS_PER_S)
/* In a window of a second, slots of 1 s + COLD_PERMIT_NS and the time that a
   question for permits may take (0.3 s) can be spent.  Together these are one
   and a half times the limit, which is what operators allow.  */
#define COLD_PERMIT_NS (200 * KWF_NS_PER_MS)
/* The owner of a cold server's limit grants no permit that starts later: the
   time that a new owner has to wait contains it.  */
#define COLD_HORIZON_NS (500 * KWF_NS_PER_MS)
/* A new owner grants nothing for this long.  By then the permits of the former
   one have expired.  */
#define COLD_HOLD_NS (COLD_HORIZON_NS + COLD_PERMIT_NS)
/* Calls without a permit delay the next slot by at most this time, over which
   the rate at a cold server is judged.  */
#define COLD_CHARGE_NS (1 * KWF_NS_PER_S)
/* After the end the rate grows for this long before the bound is dropped.  */
#define COLD_RETURN_NS (2 * KWF_NS_PER_S)
/* A request whose connection takes longer than this is not sent: its permit
   was for a time that is over.  */
#define COLD_SEND_NS (1 * KWF_NS_PER_S)

typedef enum
{
  COLD_OVER,      /* takes requests as usual */
  COLD_RETURNING, /* was cold until less than COLD_RETURN_NS ago */
  COLD_ASSUMED,   /* its age is not known, or what is known is doubted */
  COLD_ANNOUNCED  /* the server has said so, or was seen to start */
} cold_state_t;

typedef struct
{
  double per_s;     /* requests a second that it handles while cold; 0: it is
                       never cold */
  int64_t start_ns; /* how long it is cold after a start */
  int64_t seen_ns;  /* when its process was first seen here; 0: not yet */
  bool known;       /* it was said whether the process is cold */
  int64_t until_ns; /* valid with KNOWN: end of the coldness; 0: it was not
                       cold */
  int64_t told_ns;  /* when an answer or an instance last said so; 0: never */
  int64_t revision; /* of the entry that was last applied */
  bool started;     /* the process took the place of another one */
  bool doubted;     /* the server may have become cold unnoticed */
  bool unreadable;  /* an invalid value was logged */
  cold_state_t handled; /* state that was last acted on */
} cold_t;

cold_state_t cold_state (const cold_t *cold, int64_t now_ns);
/* Whether the bound of a cold server applies.  */
bool cold_stands (const cold_t *cold, int64_t now_ns);
/* Requests a second that may be sent; INFINITY: the coldness is over.  */
double cold_rate (const cold_t *cold, int64_t now_ns);

/* The process is a new one.  */
void cold_restart (cold_t *cold);
/* Its process was seen, maybe for the first time.  One that took the place of
   another one is cold; the age of a server that was not known before is not
   known.  */
void cold_see (cold_t *cold, int64_t now_ns);

/* The entry with REVISION says that the server is cold for LEFT_NS more.  An
   entry that may be older than the last answer can only lengthen that.  */
void cold_handle_entry (cold_t *cold, int64_t left_ns, int64_t revision,
                        int64_t now_ns);
/* An answer to what was asked at ASKED_NS says so.  Return whether the server
   was not known to be cold, and is.  */
bool cold_handle_answer (cold_t *cold, int64_t left_ns, int64_t asked_ns,
                         int64_t now_ns);
/* Another instance says that the server is cold for LEFT_NS more.  This only
   lengthens what is known, as the message may be late.  */
void cold_handle_news (cold_t *cold, int64_t left_ns, int64_t now_ns);
/* The instance that was asked knows that the server is not cold.  */
void cold_handle_denial (cold_t *cold);

/* Whether a request that was due at SENT_NS may still be written.  */
bool cold_may_send (const cold_t *cold, int64_t sent_ns, int64_t now_ns);

/* Whether the server stays cold for so long that a copy of its models
   elsewhere would be ready before.  */
bool cold_is_scarce (const cold_t *cold, int64_t now_ns);

#endif
