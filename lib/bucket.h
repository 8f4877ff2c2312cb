/* bucket.h - one organisation's share of rate and burst in this instance.

   Shares are fractions of the organisation's rate and burst.  A change of
   the limits therefore scales every share, also those in flight, and the
   sum of the fractions over the fleet stays at most 1.  */

#ifndef KNAPWEEDFORK_BUCKET_H
#define KNAPWEEDFORK_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  double limit_rate;  /* of the organisation: tokens a second */
  double limit_burst; /* of the organisation: tokens */
  double rate;        /* share under the present epoch, 0 to 1 */
  double cap;
  bool bounded;    /* members may still use shares of the epoch before */
  double old_rate; /* share under that epoch; bounds the present one */
  double old_cap;
  double level;      /* tokens */
  double reserved;   /* part of the cap that stands for tokens sent to others
                        and not confirmed; tokens */
  int64_t filled_ns; /* accrued up to here */
  double room;       /* tokens above the cap that may be held, because
                        requests wait for them */
  bool steady;       /* only tokens are given, never rate and cap */
  double demand;     /* tokens a second, recent */
  int64_t demand_ns; /* demand decayed up to here */
} bucket_t;

/* Rate in tokens a second and capacity in tokens that hold now.  */
double bucket_rate (const bucket_t *bucket);
double bucket_cap (const bucket_t *bucket);

/* Accrue up to VALID_NS on the clock of valid time.  */
void bucket_fill (bucket_t *bucket, int64_t valid_ns);

/* Change the organisation's limits; the level is cut to the new cap.  */
void bucket_set_limits (bucket_t *bucket, double rate, double burst);

/* Enter an epoch with the SHARE of it.  The former share bounds the new one
   until bucket_drop_old_epoch.  */
void bucket_enter_epoch (bucket_t *bucket, double share);

/* Hold up to TOKENS above the cap, for requests that wait; 0: no more.  */
void bucket_set_room (bucket_t *bucket, double tokens);

/* No member uses a share of the former epoch any more.  */
void bucket_drop_old_epoch (bucket_t *bucket);

/* Note TOKENS of demand at NOW_NS; return tokens a second.  */
double bucket_update_demand (bucket_t *bucket, double tokens, int64_t now_ns);

/* What one instance gives another.  Tokens above the cap that goes with them
   use room that the receiver has; until they are confirmed, the giver's cap
   is lower by as much, so that levels and tokens in flight together stay
   within the caps.  */
typedef struct
{
  double rate;  /* 0 to 1 */
  double cap;   /* 0 to 1 */
  double level; /* tokens */
} bucket_part_t;

typedef struct
{
  double tokens;
  bool with_cap; /* the receiver has no room: cap goes with the tokens */
  bool ahead;    /* the receiver is not short: only what is about to be lost
                    here, above half of the cap */
} bucket_request_t;

/* What can be spared of WISH, keeping RESERVED tokens.  EQUAL is an equal
   share of rate and cap; a part of it is always kept, and cap above it goes
   along.  */
bucket_part_t bucket_spare (const bucket_t *bucket,
                            const bucket_request_t *request, double reserved,
                            double equal);

/* Subtract a part that is given; return the tokens that are reserved until
   bucket_release_reserved.  */
double bucket_subtract (bucket_t *bucket, const bucket_part_t *part);
void bucket_release_reserved (bucket_t *bucket, double tokens);

void bucket_add (bucket_t *bucket, const bucket_part_t *part);

#endif
