/* crashrow.h - JSON of the rows crash/FINGERPRINT and trial/SERVER.  */

#ifndef KNAPWEEDFORK_CRASHROW_H
#define KNAPWEEDFORK_CRASHROW_H

#include <stdbool.h>
#include <stdint.h>

#define CRASHROW_MAX_LOST 16

typedef struct
{
  char *server;
  uint64_t incarnation; /* 0: unknown */
} crash_loss_t;

typedef struct
{
  const char *state; /* "suspect", "trial" or "quarantined" */
  crash_loss_t lost[CRASHROW_MAX_LOST];
  int moment_of[CRASHROW_MAX_LOST]; /* servers that were lost together have the
                                       same number; 0: not known */
  int n_lost;
  int n_proofs;         /* servers that crashed in a trial of the feature */
  bool finished;        /* a request was answered before */
  const char *holder;   /* instance that runs the trial, or NULL */
  const char *server;   /* server of the trial, or NULL; "quarantined": the
                           server that crashed during the trial */
  uint64_t incarnation; /* of that server; 0: unknown */
  /* How long the state lasts from the time when the row is read.  It is not a
     point in time, as the wall clocks of instances may differ by more than a
     trial takes.  */
  int64_t for_ms;
} crashrow_t;

/* Return the text of ROW; free with free.  */
char *crashrow_write (const crashrow_t *row);

/* Read TEXT and pass the row to FN; its strings are valid during the call.
   False: TEXT is not a row of this kind.  */
typedef void (*crashrow_fn_t) (const crashrow_t *row, void *data);
bool crashrow_read (const char *text, crashrow_fn_t fn, void *data);

/* JSON of the row trial/SERVER.  */
char *trialrow_write (uint64_t fingerprint, const char *holder,
                      int64_t for_ms);
bool trialrow_read (const char *text, int64_t *for_ms);

#endif
