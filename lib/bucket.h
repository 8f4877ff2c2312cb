/* bucket.h - the token bucket of one organisation at this instance.

   It holds shares: fractions of the organisation's rate and burst.  A change
   of the limits therefore scales every share, also those in transit between
   instances, and the sum of the fractions over the fleet stays at most 1.  */

#ifndef KNAPWEEDFORK_BUCKET_H
#define KNAPWEEDFORK_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double limit_rate;  /* of the organisation: tokens a second */
  double limit_burst; /* of the organisation: tokens */
  double rate;        /* share of limit_rate in the present epoch, 0 to 1 */
  double cap;         /* the same of limit_burst; cap means capacity */
  bool bounded;       /* the old shares limit the present ones, as members may
                         still use shares of the old epoch */
  double old_rate;    /* share in the old epoch */
  double old_cap;
  double level;      /* tokens */
  double reserved;   /* part of the cap, in tokens, that is set aside for
                        tokens sent to other instances and not confirmed */
  double floor;      /* tokens that stay: they are saved for a new process */
  int64_t filled_ns; /* leased time up to which tokens have accrued */
  double room;       /* tokens that may be held above the cap, because requests
                        wait for them */
  bool steady;       /* only tokens are transferred, never rate and cap */
  double demand;     /* recent, in tokens a second */
  int64_t demand_ns; /* time up to which demand is decayed */
} bucket_t;

/* Present rate in tokens a second and capacity in tokens.  */
double bucket_rate (const bucket_t *bucket);
double bucket_cap (const bucket_t *bucket);

/* Add the tokens that accrued since the last call; the level stays within the
   cap and the room.  LEASED_TIME_NS is the reading of a clock that runs only
   while this instance has a lease.  */
void bucket_fill (bucket_t *bucket, int64_t leased_time_ns);

/* Change the organisation's limits; the level is cut to the new cap.  */
void bucket_set_limits (bucket_t *bucket, double rate, double burst);

/* Enter a new epoch with SHARE of its rate and burst.  The share of the old
   epoch limits the new one until bucket_drop_old_epoch.  */
void bucket_enter_epoch (bucket_t *bucket, double share);

/* Allow TOKENS above the cap, for requests that wait; 0: none.  */
void bucket_set_room (bucket_t *bucket, double tokens);

/* No member uses a share of the old epoch any more.  */
void bucket_drop_old_epoch (bucket_t *bucket);

/* Decay the demand up to NOW_NS and add TOKENS to it; negative TOKENS take
   demand back.  Return the demand in tokens a second.  */
double bucket_update_demand (bucket_t *bucket, double tokens, int64_t now_ns);

/* What one instance transfers to another.  Tokens beyond the cap that is
   transferred with them need room at the receiver.  Until the receiver
   confirms them, the sender's cap is lower by as many, so that all levels and
   tokens in transit together stay within the caps.  */
typedef struct
{
  double rate;  /* share of limit_rate, 0 to 1 */
  double cap;   /* share of limit_burst, 0 to 1 */
  double level; /* tokens */
} bucket_part_t;

typedef struct
{
  double tokens;
  bool with_cap; /* the receiver has no room: transfer cap with the tokens */
  bool ahead;    /* the receiver is not short of tokens: spare only those
                    above half of the cap, which would soon overflow here */
} bucket_request_t;

/* What can be spared of REQUEST while RESERVED tokens are kept.  EQUAL is the
   fraction of an equal share of rate and cap; a part of it is always kept, and
   a part of the cap above it is transferred as well.  */
bucket_part_t bucket_spare (const bucket_t *bucket,
                            const bucket_request_t *request, double reserved,
                            double equal);

/* Subtract PART, which is transferred; return the tokens that are reserved
   until bucket_release_reserved.  */
double bucket_subtract (bucket_t *bucket, const bucket_part_t *part);
void bucket_release_reserved (bucket_t *bucket, double tokens);

/* Tokens of which a request that is short of them may get a part while
   RESERVED tokens are kept.  */
double bucket_could_grant (const bucket_t *bucket, double reserved);

/* Add TOKENS that were transferred and come back unspent.  */
void bucket_return (bucket_t *bucket, double tokens, int64_t leased_time_ns);

void bucket_add (bucket_t *bucket, const bucket_part_t *part);

#endif
