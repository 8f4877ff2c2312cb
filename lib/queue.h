/* queue.h - requests that wait for dispatch (docs/design.md section 13,
   "Queueing at the entry").

   There is one lane for each priority class.  Within a lane, organisations are
   served by weighted fair queueing over charged tokens.  The lanes are served
   in the order of the classes, but a lane with waiting requests gets at least
   5 % of the tokens that are served.  The queue never reads the clock.  */

#ifndef KNAPWEEDFORK_QUEUE_H
#define KNAPWEEDFORK_QUEUE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define QUEUE_LANES 3

typedef struct queue queue_t;

/* Queue data of a request; a member of the request.  */
typedef struct
{
  const char *organisation;
  int priority;  /* class, 0 is served first */
  double tokens; /* charged */
  double weight; /* of the organisation; > 0 */
  bool resumed;  /* was sent before: goes to the front of its lane */

  /* Set by the queue.  */
  GSequenceIter *place; /* NULL: not queued */
  int lane;
  double rank;     /* order in the lane, lowest first */
  uint64_t number; /* order of arrival, for items of equal rank */
} queue_item_t;

/* The order can be replaced, for bench/ and experiments.  */
typedef struct queue_ops
{
  /* Set lane and rank of ITEM, which is about to be queued.  */
  void (*set_rank) (queue_t *queue, queue_item_t *item);
} queue_ops_t;

typedef enum
{
  QUEUE_ADDED,
  QUEUE_ORGANISATION_FULL,
  QUEUE_FULL
} queue_verdict_t;

/* Queued requests of one organisation in one lane.  */
typedef struct
{
  double finish; /* rank of its last request */
} queue_flow_t;

typedef struct
{
  GSequence *items;    /* of queue_item_t, by rank */
  GHashTable *flows;   /* organisation to queue_flow_t */
  double virtual_time; /* rank of the last item served */
  double owed_tokens;  /* tokens owed to the lane for its minimum share */
} queue_lane_t;

struct queue
{
  const queue_ops_t *ops;
  queue_lane_t lanes[QUEUE_LANES];
  GHashTable *lengths; /* organisation to number of queued requests */
  size_t length;
  size_t limit;              /* of length */
  size_t organisation_limit; /* of each organisation */
  uint64_t number;
};

/* Weighted fair queueing, the default.  */
extern const queue_ops_t queue_fair;
/* First come, first served over all classes; a baseline.  */
extern const queue_ops_t queue_fifo;

/* OPS NULL: queue_fair.  */
void queue_init (queue_t *queue, const queue_ops_t *ops, size_t limit,
                 size_t organisation_limit);
void queue_clear (queue_t *queue);

/* Add ITEM, whose first five fields are set.  A resumed item is always
   accepted.  When the queue is full and ITEM comes before the last item that
   was never sent, that last item is returned in *DISPLACED and must be removed
   by the caller; else *DISPLACED is NULL.  */
queue_verdict_t queue_add (queue_t *queue, queue_item_t *item,
                           queue_item_t **displaced);
/* Remove ITEM.  SERVED: it is sent now, so its tokens count as served.  No
   effect when it is not queued.  */
void queue_remove (queue_t *queue, queue_item_t *item, bool served);

/* Call FN for the items in the order of service until it returns true; return
   that item or NULL.  FN must not change the queue.  */
typedef bool (*queue_fn_t) (queue_item_t *item, void *data);
queue_item_t *queue_walk (const queue_t *queue, queue_fn_t fn, void *data);

size_t queue_organisation_length (const queue_t *queue,
                                  const char *organisation);
size_t queue_lane_length (const queue_t *queue, int lane);

#endif
