/* share-state.h - the internals of shares_t, shared by its files.  */

#ifndef KNAPWEEDFORK_SHARE_STATE_H
#define KNAPWEEDFORK_SHARE_STATE_H

#include <glib.h>
#include <inttypes.h>

#include "bucket.h"
#include "share.h"

/* Number of members that own an organisation's rate and burst, so that a
   request finds its tokens in few places.  If one of them fails, seven eighths
   remain.  In a fleet of up to this size every member is a share owner.  */
#define SHARE_OWNERS 8

/* An owner that has not answered a share request after this time is skipped.
   Links take up to 10 ms, and a busy instance needs some time to answer.  */
#define SHARE_ANSWER_NS (50 * KWF_NS_PER_MS)

/* A caller's request waits this long for tokens of peers.  */
#define SHARE_WAIT_NS (150 * KWF_NS_PER_MS)

/* After a round of share requests that brought too few tokens, the next round
   starts when the fleet's rate can have produced the missing tokens, but after
   this time at the latest.  Otherwise an organisation above its rate would
   cause share requests for each of its requests.  */
#define SHARE_ASK_BACKOFF_NS (50 * KWF_NS_PER_MS)

/* Prefetch: an instance sends share requests before it is short of tokens, if
   its level is below SHARE_PREFETCH_LEVEL of its cap: every SHARE_PREFETCH_NS
   if its tokens last for less than SHARE_PREFETCH_S at its recent demand, else
   every SHARE_PREFETCH_IDLE_NS.  Otherwise tokens that accrue at instances
   without demand would be lost when their buckets are full.  */
#define SHARE_PREFETCH_S 1.0
#define SHARE_PREFETCH_LEVEL 0.75 /* part of the cap */
#define SHARE_PREFETCH_IDLE_NS (400 * KWF_NS_PER_MS)
#define SHARE_PREFETCH_NS (100 * KWF_NS_PER_MS)

/* Longest time after which a refused request is to be retried.  Callers wait
   for at most a third of the time that they have left, which is 5 s of 15
   s.  */
#define SHARE_RETRY_AFTER_MAX_NS (5 * KWF_NS_PER_S)

/* Tokens by which sums of grants may be too small because of rounding.  A
   charge that exceeds them leaves a debt of as much, so they do not add up. */
#define SHARE_ROUNDING 1e-6

/* The numbers of share requests begin here if their sender reads the level of
   the owner in the grant and may send tokens back with the ack.  Builds that
   do not know these fields refuse a message that has them, and they count from
   0.  */
#define SHARE_NUMBER_LEVELS (INT64_C (1) << 40)

/* A grant that is not confirmed within this time counts as lost, and a new
   epoch is needed unless shares are steady.  If its receiver died, a new
   epoch without the receiver begins sooner than that.  A shorter time could
   begin an epoch that still includes the dead receiver, which would be of no
   use.  */
#define SHARE_CONFIRM_NS (5 * KWF_NS_PER_S)

/* A member of a share epoch, whether or not it owns a share of any
   organisation.  */
typedef struct
{
  char *instance;
  uint64_t incarnation;
  int64_t last_grant; /* number of the last grant that was accepted from it */
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
  bool present; /* it is in the active lists */
  bool fresh;   /* new account: whether it starts full is not decided yet */
  bool busy;    /* it is in shares->busy */
  /* The members of the epoch that own the organisation's rate and burst, if
     shares are steady.  Otherwise every member owns a share and this is
     empty.  */
  GPtrArray *share_owners;
  double share;     /* share at the start of the epoch, before transfers; 0:
                       not an owner */
  double old_share; /* the same in the previous epoch */
  GArray *waiters;
  int64_t round; /* number of the open round of share requests; 0: none */
  int64_t round_ns;
  double received;  /* tokens that the round has brought */
  GPtrArray *asked; /* instances whose grant has not arrived */
  /* Where shares are steady (rates/collect.h).  */
  GPtrArray *parcels; /* granted tokens that are not spent yet */
  GPtrArray *levels;  /* what the owners told of their tokens */
  /* Tokens saved for the next process (rates/save.h).  */
  double floor;        /* in the row */
  double floor_sent;   /* in the open write of the row */
  bool pressed;        /* a request needs some of them */
  int64_t released_ns; /* when saved tokens were last released; 0: never */
  bool taken_over;
  bool unlinked;       /* no owner could be asked */
  bool silent;         /* owners did not answer the last round */
  int64_t next_ask_ns; /* the next round, when tokens have accrued; 0: none
                          is planned */
  int64_t ask_backoff_until_ns;
  int64_t next_prefetch_ns;
  /* Tokens of requests that were refused and are to be retried.  They decrease
     at this instance's part of the rate.  */
  double deferred_tokens;
  int64_t deferred_ns;
} account_t;

/* A grant that was sent and is not confirmed.  */
typedef struct
{
  char *instance;
  int64_t number;
  int64_t sent_ns;
  account_t *account;
  double reserved; /* part of the sender's cap that is kept free until then */
  double tokens;
} pending_grant_t;

/* What became of requests whose tokens were not here (rates/count.c).  */
typedef struct
{
  uint64_t granted;   /* after they waited */
  int64_t granted_ns; /* sum of their waits */
  uint64_t scarce;    /* refused: all owners together lacked the tokens */
  uint64_t late;      /* refused: the tokens did not come in time */
  uint64_t unlinked;  /* refused: no owner could be asked */
} share_counts_t;

struct shares
{
  char *instance;
  uint64_t incarnation;
  const kwf_clock_t *clock;
  session_t *session; /* as passed to the last step */

  /* Same as the option push_updates: the store pushes rows, share owners keep
     their shares when they restart, and grants move tokens only, not rate or
     cap.  A restarted process has no tokens, so it does not have to know how
     many its predecessor spent.  If false, every member of the epoch has an
     equal share.  */
  bool steady;
  double fleet_overdraft; /* tokens that an organisation may owe at all
                             instances together */

  int64_t epoch;
  int64_t row_version;
  int64_t list_version;
  GPtrArray *holders;  /* of holder_t: all members of the epoch */
  GPtrArray *former;   /* names of all members of the previous epoch */
  GPtrArray *previous; /* of holder_t: those of the previous epoch that may
                          still use it */
  double share;        /* share at the start of the epoch, before transfers; 0:
                          not a member */
  double old_share;
  bool settled;
  bool needs_epoch;
  bool gave_up;     /* this process is stopping and has no share any more */
  bool saves;       /* this process has written the row of saved tokens */
  bool save_failed; /* its last write was not committed */
  bool was_valid;
  int64_t rank;     /* of this instance among the live members, by name */
  int64_t need_ns;  /* since when a new epoch is needed; 0: it is not */
  int64_t began_ns; /* when need_ns was set first */
  guint n_planned;  /* members of the needed epoch */
  guint n_members;  /* live members, this instance included */
  int64_t next_write_ns;
  kwf_handle_t op;
  uint64_t next_op;

  share_counts_t counts;
  struct json_t *saved;  /* row that the predecessor saved; NULL: none */
  int64_t saved_version; /* of the row */
  kwf_handle_t save_op;  /* open write; 0: none */
  int64_t saved_ns;      /* when it was sent */
  int64_t next_save_ns;

  int64_t stepped_ns;
  int64_t valid_ns; /* time with a valid lease so far */

  GHashTable *accounts;      /* name -> account_t */
  GPtrArray *busy;           /* of account_t: new accounts, and those with an
                                open round or waiting requests.  A step visits
                                only these.  Visiting 500 accounts for each
                                load report took 70% of the control work at the
                                target size.  */
  GPtrArray *pending_grants; /* of pending_grant_t */
  int64_t next_number;
  GArray *results; /* of share_result_t: being collected */
  GArray *taken;   /* of share_result_t: returned to the caller */
};

typedef struct
{
  const char *organisation;
  double rate;
  double burst;
} share_limit_t;

/* Does the work of shares_set_lists for LIMITS, without kwf_lists_t.  */
void shares_set_limits (shares_t *shares, const share_limit_t *limits,
                        size_t n);

void holder_free (void *holder);
holder_t *holder_find (const GPtrArray *holders, const char *instance,
                       uint64_t incarnation);

/* The member of HOLDERS that INCARNATION of INSTANCE is; NULL: none.  If
   shares are steady, the incarnation is not compared.  */
holder_t *shares_holder_of (const shares_t *shares, const GPtrArray *holders,
                            const char *instance, uint64_t incarnation);

/* Tokens that ACCOUNT may owe at this instance after a charge: its part of
   fleet_overdraft.  Negative: so many have to stay, as they are saved.  */
double shares_own_overdraft (const shares_t *shares, const account_t *account);

/* share-owners.c: finds the owners of ACCOUNT in the present epoch and the
   previous one, and sets this instance's share and old_share.  */
void share_owners_find (const shares_t *shares, account_t *account);
bool share_owners_contain (const account_t *account, const char *instance);

/* Epochs (epoch.c).  */
void epoch_apply_row (shares_t *shares, const kwf_row_t *row,
                      kwf_effects_t *effects);
/* FRESH: rows arrived in this step.  */
void epoch_run (shares_t *shares, bool fresh, int64_t now_ns,
                kwf_effects_t *effects);
void epoch_handle_reply (shares_t *shares, const kwf_store_reply_t *reply,
                         int64_t now_ns);
int64_t epoch_next_tick_ns (const shares_t *shares);

/* Sets the share of a new account in the present epoch.  */
void epoch_init_account (const shares_t *shares, account_t *account);

/* Decides whether a new account starts with a full bucket, and fills it.  */
void epoch_fill_new_account (const shares_t *shares, account_t *account);

/* Transfers (transfer.c).  */
void pending_grant_free (void *pending);
/* Starts a round of share requests, for the tokens that the waiting requests
   need or, if none waits, for those that the demand will need soon.  */
void transfer_ask (shares_t *shares, account_t *account, int64_t now_ns,
                   kwf_effects_t *effects);
void transfer_handle_request (shares_t *shares, const kwf_peer_event_t *event,
                              int64_t now_ns, kwf_effects_t *effects);
void transfer_handle_grant (shares_t *shares, const kwf_peer_event_t *event,
                            kwf_effects_t *effects);
void transfer_handle_ack (shares_t *shares, const kwf_peer_event_t *event);
void transfer_peer_up (shares_t *shares, const char *instance,
                       kwf_effects_t *effects);
void transfer_peer_down (shares_t *shares, const char *instance);
/* Treats the grants that were not confirmed within SHARE_CONFIRM_NS as
   lost.  */
void transfer_expire_grants (shares_t *shares, int64_t now_ns,
                             kwf_effects_t *effects);
int64_t transfer_next_tick_ns (const shares_t *shares);

#endif
