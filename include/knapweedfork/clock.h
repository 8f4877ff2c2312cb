/* clock.h - interfaces of the clock and of the random source.

   The program passes both in, so that tests can replace them.  Durations and
   times are mostly int64_t nanoseconds in variables that end in _ns; another
   unit is part of the name (_ms, _s). struct timespec is used only in this
   interface.  */

#ifndef KNAPWEEDFORK_CLOCK_H
#define KNAPWEEDFORK_CLOCK_H

#include <stddef.h>
#include <stdint.h>
#include <time.h>

#define KWF_NS_PER_S INT64_C (1000000000)
#define KWF_NS_PER_MS INT64_C (1000000)
#define KWF_NS_PER_US INT64_C (1000)

typedef struct kwf_clock kwf_clock_t;
typedef struct
{
  /* Reading of the monotonic clock, which also advances while the machine is
     suspended (CLOCK_BOOTTIME).  */
  struct timespec (*monotonic) (const kwf_clock_t *clock);
  /* Wall-clock time.  It is used in logs and table rows, for the age of
     claims, and as the incarnation of an instance.  */
  struct timespec (*wall) (const kwf_clock_t *clock);
} kwf_clock_ops_t;
struct kwf_clock
{
  const kwf_clock_ops_t *ops;
};

typedef struct kwf_random kwf_random_t;
typedef struct
{
  /* Write SIZE random bytes to BUFFER.  */
  void (*fill) (kwf_random_t *random, void *buffer, size_t size);
} kwf_random_ops_t;
struct kwf_random
{
  const kwf_random_ops_t *ops;
};

/* The operating system's clock.  */
const kwf_clock_t *kwf_clock_system (void);

/* The random source of libsodium.  */
kwf_random_t *kwf_random_system (void);

/* Monotonic time of CLOCK in nanoseconds (its function "elapsed").  */
int64_t kwf_now_ns (const kwf_clock_t *clock);

/* Wall-clock time of CLOCK in milliseconds since 1970.  */
int64_t kwf_wall_ms (const kwf_clock_t *clock);

#endif
