/* queue.h - requests that wait at the entry (docs/design.md section 13,
   "Queueing at the entry").

   One lane for each class, and within it weighted fair order over charged
   tokens between organisations.  The lanes are served in the order of the
   classes, but a lane with waiting requests keeps at least 5 % of the tokens
   that are served.  The queue never looks at the clock.  */

#ifndef KNAPWEEDFORK_QUEUE_H
#define KNAPWEEDFORK_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUEUE_LANES 3

typedef struct queue queue_t;

/* A request that waits; part of the request.  */
typedef struct
{
  const char *organisation;
  int priority;  /* class, 0 is served first */
  double tokens; /* charged */
  double weight; /* of the organisation; > 0 */
  bool resumed;  /* was served before: goes to the front of its lane */

  /* The queue's own.  */
  GSequenceIter *place; /* NULL: does not wait */
  int lane;
  double rank; /* order in the lane, least first */
  uint64_t number;
} queue_item_t;

/* The order can be replaced: for bench/ and experiments.  */
typedef struct queue_ops
{
  /* Set lane and rank of ITEM, which is about to wait.  */
  void (*place) (queue_t *queue, queue_item_t *item);
} queue_ops_t;

typedef enum
{
  QUEUE_ADDED,
  QUEUE_ORGANISATION_FULL,
  QUEUE_FULL
} queue_verdict_t;

/* Requests of one organisation in one lane.  */
typedef struct
{
  double finish; /* rank of its last one */
} queue_flow_t;

typedef struct
{
  GSequence *items;  /* of queue_item_t, by rank */
  GHashTable *flows; /* organisation to queue_flow_t */
  double now;        /* virtual time: rank of the last one served */
  double credit;     /* tokens due for the minimum share */
} queue_lane_t;

struct queue
{
  const queue_ops_t *ops;
  queue_lane_t lanes[QUEUE_LANES];
  GHashTable *lengths; /* organisation to number waiting */
  size_t length;
  size_t limit;              /* of length */
  size_t organisation_limit; /* of each organisation */
  uint64_t number;
};

/* Weighted fair order, the product's own.  */
extern const queue_ops_t queue_fair;
/* First come first served over all classes, a baseline.  */
extern const queue_ops_t queue_fifo;

/* OPS NULL: queue_fair.  */
void queue_init (queue_t *queue, const queue_ops_t *ops, size_t limit,
                 size_t organisation_limit);
void queue_clear (queue_t *queue);

/* Add ITEM, whose first five fields are set.  A resumed one is always
   taken.  When the queue is full and ITEM comes before the last one that was
   never served, that one is put in *PUSHED and must be removed by the
   caller; else *PUSHED is NULL.  */
queue_verdict_t queue_add (queue_t *queue, queue_item_t *item,
                           queue_item_t **pushed);
/* Take ITEM out; SERVED when it is sent now, so that its tokens count.
   No effect when it does not wait.  */
void queue_remove (queue_t *queue, queue_item_t *item, bool served);

/* Call FN for the items in the order of service, until it returns true;
   return that item or NULL.  FN must not change the queue.  */
typedef bool (*queue_fn_t) (queue_item_t *item, void *data);
queue_item_t *queue_walk (const queue_t *queue, queue_fn_t fn, void *data);

size_t queue_organisation_length (const queue_t *queue,
                                  const char *organisation);
size_t queue_lane_length (const queue_t *queue, int lane);

#endif
