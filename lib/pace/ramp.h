/* ramp.h - the rate at which a backend server that has just started receives
   requests: it begins small, grows as long as the answers stay as fast as the
   best ones of this server, and falls when they slow down.

   Load pattern: servers restart during traffic.  With all of its load at once
   a server that starts slowly is overloaded; with a fixed slow start one that
   is at full speed at once is left idle.

   The owner of the server's limit (lib/limit.h) determines the rate from the
   answers of which the instances tell it with their questions for permits.
   The functions read no clock.  Times are in nanoseconds.  */

#ifndef KNAPWEEDFORK_PACE_RAMP_H
#define KNAPWEEDFORK_PACE_RAMP_H

#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/clock.h>

/* Requests a second at the start.  A server that needs a second for an answer
   has a few at a time.  */
#define RAMP_START_PER_S 5.0
/* The ramp-up ends after this time at the latest: a server that is still slow
   then is one that is slow.  */
#define RAMP_MAX_NS (30 * KWF_NS_PER_S)
/* Permits are granted for this time ahead, so that what waits profits from a
   higher rate soon.  */
#define RAMP_HORIZON_NS (300 * KWF_NS_PER_MS)
/* Sizes of prompts that are compared with each other: up to 0, 1, 3, 7 and so
   on tokens.  */
#define RAMP_KINDS 24

/* Time to the first data of an answer.  */
typedef struct
{
  int64_t kind;    /* 0 to RAMP_KINDS - 1 */
  int64_t time_ns; /* 0: there is no answer */
} ramp_sample_t;

typedef struct
{
  bool started;     /* the process took the place of another one */
  int64_t begun_ns; /* when the ramp-up began here; 0: it has not */
  bool over;
  bool handled; /* that it stands was acted on */

  ramp_sample_t sample; /* the holder: latest answer, not told yet */

  /* The owner.  */
  double per_s;
  int64_t period_ns;  /* start of the present period */
  int n_samples;      /* answers in this period */
  int64_t longest_ns; /* the longest of their times */
  double slowness;    /* sum of their times, each as a multiple of the best */
  bool fell;          /* the answers were slow once */
  bool wanting;       /* more was asked for than granted */
  int n_calm;         /* periods in a row that were fast and not wanting */
  int64_t best_ns[RAMP_KINDS]; /* 0: no answer of this kind */
} ramp_t;

void ramp_begin (ramp_t *ramp, int64_t now_ns);
/* Whether the ramp-up is under way.  */
bool ramp_stands (const ramp_t *ramp, int64_t now_ns);
/* Requests a second that may be sent; INFINITY: as many as there are.  */
double ramp_rate (const ramp_t *ramp, int64_t now_ns);

/* An answer to a request with PROMPT_TOKENS took TIME_NS to its first data. */
void ramp_record (ramp_t *ramp, int64_t prompt_tokens, int64_t time_ns);

/* The owner: an instance tells of an answer.  */
void ramp_handle_sample (ramp_t *ramp, const ramp_sample_t *sample);
/* The owner: of N_ASKED permits N were granted.  Adapts the rate.  Return
   whether the ramp-up has ended.  */
bool ramp_count_grant (ramp_t *ramp, int n_asked, int n, int64_t now_ns);

#endif
