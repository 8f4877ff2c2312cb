#include "bucket.h"

#include <knapweedfork/clock.h>
#include <math.h>

/* Demand is averaged over this time.  */
#define DEMAND_AVERAGE_NS (2 * KWF_NS_PER_S)

/* An instance keeps tokens for its own demand of this time, in seconds, when
   it transfers tokens: about the time in which it can get tokens from others.
   More of them would lie idle while the organisation is at its limit.  */
#define KEPT_DEMAND_S 0.02

/* The rate that an instance keeps, as a multiple of its own demand.  */
#define KEPT_RATE 1.25

/* Part of the remaining rate that is transferred.  */
#define TRANSFER_RATE 0.75

/* Part of an equal share of rate and cap that is kept whatever the demand.
   Tokens can be transferred without rate and cap, and a share that one
   instance holds is lost with that instance.  */
#define KEPT_SHARE 0.5

/* Part of the cap above an equal share that is transferred along with
   tokens.  */
#define TRANSFER_CAP 0.25

/* A smaller fraction of the rate is not worth a transfer.  */
#define MIN_RATE 0.005

static double
share_within_old (const bucket_t *bucket, double share, double old)
{
  return bucket->bounded ? fmin (share, old) : share;
}

double
bucket_rate (const bucket_t *bucket)
{
  return share_within_old (bucket, bucket->rate, bucket->old_rate)
         * bucket->limit_rate;
}

double
bucket_cap (const bucket_t *bucket)
{
  return fmax (share_within_old (bucket, bucket->cap, bucket->old_cap)
                       * bucket->limit_burst
                   - bucket->reserved,
               0);
}

static void
cut_level (bucket_t *bucket)
{
  bucket->level = fmin (bucket->level, bucket_cap (bucket) + bucket->room);
}

void
bucket_set_room (bucket_t *bucket, double tokens)
{
  bucket->room = fmax (tokens, 0);
  cut_level (bucket);
}

void
bucket_fill (bucket_t *bucket, int64_t leased_time_ns)
{
  double elapsed_s
      = (double)(leased_time_ns - bucket->filled_ns) / KWF_NS_PER_S;
  bucket->filled_ns = leased_time_ns;
  bucket->level += elapsed_s * bucket_rate (bucket);
  cut_level (bucket);
}

void
bucket_set_limits (bucket_t *bucket, double rate, double burst)
{
  bucket->limit_rate = rate;
  bucket->limit_burst = burst;
  cut_level (bucket);
}

void
bucket_enter_epoch (bucket_t *bucket, double share)
{
  bucket->old_rate = share_within_old (bucket, bucket->rate, bucket->old_rate);
  bucket->old_cap = share_within_old (bucket, bucket->cap, bucket->old_cap);
  /* Tokens in transit may still arrive under the old epoch.  */
  if (bucket->limit_burst > 0)
    bucket->old_cap
        = fmax (bucket->old_cap - bucket->reserved / bucket->limit_burst, 0);
  bucket->reserved = 0;
  bucket->floor = 0;
  bucket->bounded = true;
  bucket->rate = share;
  bucket->cap = share;
  cut_level (bucket);
}

void
bucket_drop_old_epoch (bucket_t *bucket)
{
  bucket->bounded = false;
}

double
bucket_update_demand (bucket_t *bucket, double tokens, int64_t now_ns)
{
  double elapsed_averages
      = (double)(now_ns - bucket->demand_ns) / DEMAND_AVERAGE_NS;
  bucket->demand_ns = now_ns;
  bucket->demand = bucket->demand * exp (-elapsed_averages)
                   + tokens / ((double)DEMAND_AVERAGE_NS / KWF_NS_PER_S);
  /* A demand above the organisation's rate says no more about which instance
     needs a larger share of the rate, and would take long to decay.  */
  bucket->demand = fmin (fmax (bucket->demand, 0), bucket->limit_rate);
  return bucket->demand;
}

double
bucket_could_grant (const bucket_t *bucket, double reserved)
{
  double keep = reserved + bucket->demand * KEPT_DEMAND_S;
  return fmax (bucket->level - keep, 0);
}

/* Part of the rate, in tokens a second, that is not needed here.  */
static double
spare_rate (const bucket_t *bucket, double equal)
{
  double rate = bucket_rate (bucket);
  double spare = fmax (rate - KEPT_RATE * bucket->demand, 0) * TRANSFER_RATE;
  spare = fmin (spare, rate - KEPT_SHARE * equal * bucket->limit_rate);
  return spare < MIN_RATE * bucket->limit_rate ? 0 : spare;
}

bucket_part_t
bucket_spare (const bucket_t *bucket, const bucket_request_t *request,
              double reserved, double equal)
{
  bucket_part_t part = { 0 };
  double rate = bucket_rate (bucket);
  double cap = bucket_cap (bucket);
  if (rate <= 0 || cap <= 0)
    return part;
  double keep = reserved + bucket->demand * KEPT_DEMAND_S + bucket->floor;
  if (request->ahead)
    keep = fmax (keep, cap / 2);
  part.level
      = fmin (fmax (bucket->level - keep, 0), fmax (request->tokens, 0));
  if (bucket->steady)
    return part;
  double spare = spare_rate (bucket, equal);
  part.rate = spare / bucket->limit_rate;
  /* Transfer cap in proportion to the rate, or a part of the cap above an
     equal share, as far as the remaining tokens allow.  */
  double burst = bucket->limit_burst;
  double moved_cap
      = fmin (cap * spare / rate, cap - KEPT_SHARE * equal * burst);
  moved_cap = fmax (moved_cap, (cap - equal * burst) * TRANSFER_CAP);
  if (request->with_cap)
    moved_cap = fmax (moved_cap, part.level);
  moved_cap = fmin (moved_cap, cap - (bucket->level - part.level));
  part.cap = fmax (moved_cap, 0) / burst;
  return part;
}

double
bucket_subtract (bucket_t *bucket, const bucket_part_t *part)
{
  double reserved = fmax (part->level - part->cap * bucket->limit_burst, 0);
  bucket->rate = fmax (bucket->rate - part->rate, 0);
  bucket->cap = fmax (bucket->cap - part->cap, 0);
  if (bucket->bounded)
    {
      bucket->old_rate = fmax (bucket->old_rate - part->rate, 0);
      bucket->old_cap = fmax (bucket->old_cap - part->cap, 0);
    }
  bucket->level -= fmin (part->level, fmax (bucket->level, 0));
  bucket->reserved += reserved;
  cut_level (bucket);
  return reserved;
}

void
bucket_release_reserved (bucket_t *bucket, double tokens)
{
  bucket->reserved = fmax (bucket->reserved - tokens, 0);
}

void
bucket_return (bucket_t *bucket, double tokens, int64_t leased_time_ns)
{
  bucket_fill (bucket, leased_time_ns);
  bucket->level += fmax (tokens, 0);
  cut_level (bucket);
}

void
bucket_add (bucket_t *bucket, const bucket_part_t *part)
{
  bucket->rate += part->rate;
  bucket->cap += part->cap;
  bucket->level += part->level;
  cut_level (bucket);
}
