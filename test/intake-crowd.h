/* intake-crowd.h - many callers at once on one thread, for tests of what the
   daemon holds for them.  */

#ifndef KNAPWEEDFORK_TEST_INTAKE_CROWD_H
#define KNAPWEEDFORK_TEST_INTAKE_CROWD_H

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>

enum
{
  CROWD_MAX = 400
};

/* What each caller of a crowd does.  */
typedef struct
{
  int n_callers;
  const char *head;  /* request line and headers, without X-Request-Id and the
                        empty line; NULL: nothing is sent */
  const char *unit;  /* the body is this again and again */
  size_t size;       /* bytes of the body that are sent */
  size_t piece;      /* bytes sent at once */
  const char *end;   /* sent after the body by every eighth caller; the others
                        stay open without it; NULL: none */
  bool to_operators; /* connects to their port */
  bool reads_bytes;  /* it reads the answer one byte at a time; else nothing */
} crowd_kind_t;

typedef struct
{
  const crowd_kind_t *kind;
  char *block; /* of the body, longer than a piece by a unit */
  int fds[CROWD_MAX];
  size_t sent[CROWD_MAX];
  atomic_int busy; /* callers that have not sent all */
  atomic_bool stop;
  GThread *thread;
} crowd_t;

/* Connects all callers of KIND to ADDRESS and lets them begin.  */
void crowd_start (crowd_t *crowd, const crowd_kind_t *kind,
                  const char *address);
/* Closes their connections.  */
void crowd_stop (crowd_t *crowd);

#endif
