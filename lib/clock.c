#include <knapweedfork/clock.h>

#include <sodium.h>

static struct timespec
system_elapsed (const kwf_clock_t *clock)
{
  (void)clock;
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now;
}

static struct timespec
system_wall (const kwf_clock_t *clock)
{
  (void)clock;
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return now;
}

static void
system_fill (kwf_random_t *random, void *buffer, size_t size)
{
  (void)random;
  randombytes_buf (buffer, size);
}

const kwf_clock_t *
kwf_clock_system (void)
{
  static const kwf_clock_ops_t ops
      = { .monotonic = system_elapsed, .wall = system_wall };
  static const kwf_clock_t clock = { .ops = &ops };
  return &clock;
}

kwf_random_t *
kwf_random_system (void)
{
  static const kwf_random_ops_t ops = { .fill = system_fill };
  static kwf_random_t random = { .ops = &ops };
  return &random;
}

int64_t
kwf_now_ns (const kwf_clock_t *clock)
{
  struct timespec now = clock->ops->monotonic (clock);
  return (int64_t)now.tv_sec * KWF_NS_PER_S + now.tv_nsec;
}

int64_t
kwf_wall_ms (const kwf_clock_t *clock)
{
  struct timespec now = clock->ops->wall (clock);
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / KWF_NS_PER_MS;
}
