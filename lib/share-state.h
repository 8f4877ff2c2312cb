/* share-state.h - the parts of shares_t, shared by its files.  */

#ifndef KNAPWEEDFORK_SHARE_STATE_H
#define KNAPWEEDFORK_SHARE_STATE_H

#include <glib.h>
#include <inttypes.h>

#include "bucket.h"
#include "share.h"

/* The rate and burst of an organisation lie at this many members, so that a
   request finds its tokens in few places.  The loss of one leaves seven
   eighths, and fleets up to this size have all of them as homes.  */
#define SHARE_OWNERS 8

/* A home that has not answered a question by then is passed over: links
   take up to 10 ms, and a slow instance some more.  */
#define SHARE_ANSWER_NS (50 * KWF_NS_PER_MS)

/* A request waits this long for tokens of peers.  */
#define SHARE_WAIT_NS (150 * KWF_NS_PER_MS)

/* After a round that brought too little, peers are not asked again until
   the missing tokens can be there at the fleet's rate, at most this long, so
   that an organisation above its rate does not cause a question for each
   request.  */
#define SHARE_ASK_BACKOFF_NS (50 * KWF_NS_PER_MS)

/* An instance whose tokens last for less than the first time at its recent
   demand asks for more before it is short, once in the second time.  Else the
   tokens that arise at instances without demand are lost when their buckets
   are full.  */
#define SHARE_PREFETCH_S 1.0
#define SHARE_PREFETCH_LEVEL 0.75 /* and is not that full */
#define SHARE_PREFETCH_IDLE_NS (400 * KWF_NS_PER_MS)
#define SHARE_PREFETCH_NS (100 * KWF_NS_PER_MS)

/* Refused requests are told to come back after this long at most: callers wait
   for a third of the time that they have left, 5 s of 15 s.  */
#define SHARE_RETRY_AFTER_MAX_NS (5 * KWF_NS_PER_S)

/* A transfer that is not confirmed by then is lost.  When its receiver died,
   an epoch without it comes sooner; one with it would come to nothing.  */
#define SHARE_CONFIRM_NS (5 * KWF_NS_PER_S)

/* A member of an epoch.  */
typedef struct
{
  char *instance;
  uint64_t incarnation;
  int64_t last_give; /* number of the last GIVE taken from it */
} holder_t;

typedef struct
{
  kwf_handle_t request;
  double tokens;
  int64_t since_ns;
} waiter_t;

typedef struct
{
  char *name;
  bucket_t bucket;
  bool present; /* in the lists in force */
  bool fresh;   /* whether it starts full is not decided */
  bool busy;    /* in the list of the busy ones */
  /* Members of the epoch that hold a part of the rate and burst, where shares
     are steady; else all do and this is empty.  */
  GPtrArray *share_owners;
  double share;     /* first share under the epoch, 0: this is no home */
  double old_share; /* the same under the epoch before */
  GArray *waiters;
  int64_t round; /* number of the question under way; 0: none */
  int64_t round_ns;
  bool first;       /* the question went to one home, the others follow */
  double received;  /* tokens that the round has brought */
  GPtrArray *asked; /* instances that have not answered */
  int64_t ask_backoff_until_ns;
  int64_t next_prefetch_ns;
  /* Tokens of requests that were refused and told to come back; they shrink
     with this instance's part of the rate.  */
  double deferred_tokens;
  int64_t deferred_ns;
} account_t;

/* A transfer that was sent and not confirmed.  */
typedef struct
{
  char *instance;
  int64_t number;
  int64_t sent_ns;
  account_t *account;
  double reserved; /* tokens of the giver's cap until it is confirmed */
} pending_grant_t;

struct shares
{
  char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  session_t *session; /* of the last step */

  /* Members keep their shares over a restart, and give tokens only.  A new
     process of a member starts with no tokens, so what the one before it
     may have spent needs no proof.  */
  bool steady;
  double overdraft; /* tokens, over the fleet */

  int64_t epoch;
  int64_t row_version;
  int64_t list_version;
  GPtrArray *holders;  /* of holder_t, members of the epoch */
  GPtrArray *former;   /* names of all members of the epoch before */
  GPtrArray *previous; /* of holder_t, may still use the epoch before */
  double share;        /* first share under the epoch, 0: not a member */
  double old_share;
  bool settled;
  bool needs_epoch;
  int64_t rank;     /* of this instance among the live members, by name */
  int64_t need_ns;  /* since when a new epoch is needed; 0: not needed */
  int64_t began_ns; /* when NEED_NS was set first */
  guint n_planned;  /* members of the epoch that is needed */
  int64_t next_write_ns;
  kwf_handle_t op;
  uint64_t next_op;

  bool was_valid;
  int64_t stepped_ns;
  int64_t valid_ns; /* time with authority so far */

  GHashTable *accounts;      /* name -> account_t */
  GPtrArray *busy;           /* of account_t: fresh, or with a question or
                                waiters.  A step looks at these only: walking
                                500 accounts for each load report was 70% of
                                the control work at the target size.  */
  GPtrArray *pending_grants; /* of pending_grant_t */
  int64_t next_number;
  GArray *results; /* of share_result_t, being collected */
  GArray *taken;   /* of share_result_t, handed out */
};

typedef struct
{
  const char *organisation;
  double rate;
  double burst;
} share_limit_t;

/* The whole of shares_set_lists, with the limits taken from the lists.  */
void shares_set_limits (shares_t *shares, const share_limit_t *limits,
                        size_t n);

void holder_free (void *holder);
holder_t *holder_find (const GPtrArray *holders, const char *instance,
                       uint64_t incarnation);

/* The member of HOLDERS that INCARNATION of INSTANCE is; NULL: none.  */
holder_t *shares_holder_of (const shares_t *shares, const GPtrArray *holders,
                            const char *instance, uint64_t incarnation);

/* Tokens of ACCOUNT that this instance may owe after a charge.  */
double shares_overdraft (const shares_t *shares, const account_t *account);

/* homes.c: find the homes of ACCOUNT under the present epoch, and the shares
   of this instance.  */
void share_owners_find (const shares_t *shares, account_t *account);
bool share_owners_contain (const account_t *account, const char *instance);
/* The home that is asked first: one in this data centre, if there is one that
   has a link, and by turns.  NULL: none.  */
const char *share_owners_first (const shares_t *shares,
                                const account_t *account);

/* Epochs.  */
void epoch_apply_row (shares_t *shares, const kwf_row_t *row,
                      kwf_effects_t *effects);
/* FRESH: rows arrived in this step.  */
void epoch_run (shares_t *shares, bool fresh, int64_t now_ns,
                kwf_effects_t *effects);
void epoch_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                         int64_t now_ns);
int64_t epoch_deadline_ns (const shares_t *shares);

/* Set the share of a new account under the present epoch.  */
void epoch_init_account (const shares_t *shares, account_t *account);

/* Decide whether a new account starts full.  */
void epoch_fill_new_account (const shares_t *shares, account_t *account);

/* Transfers.  */
void pending_grant_free (void *pending);
/* Ask all peers for what the waiters need, or for what the demand of the
   next time needs.  */
void transfer_ask (shares_t *shares, account_t *account, int64_t now_ns,
                   kwf_effects_t *effects);
/* The home that was asked first did not have it: ask the others.  */
void transfer_ask_others (shares_t *shares, account_t *account,
                          kwf_effects_t *effects);
void transfer_handle_request (shares_t *shares, const kwf_peer_event_t *event,
                              int64_t now_ns, kwf_effects_t *effects);
void transfer_handle_grant (shares_t *shares, const kwf_peer_event_t *event,
                            kwf_effects_t *effects);
void transfer_handle_ack (shares_t *shares, const kwf_peer_event_t *event);
void transfer_peer_up (shares_t *shares, const char *instance,
                       kwf_effects_t *effects);
void transfer_peer_down (shares_t *shares, const char *instance);
void transfer_run (shares_t *shares, int64_t now_ns, kwf_effects_t *effects);
int64_t transfer_deadline_ns (const shares_t *shares);

#endif
