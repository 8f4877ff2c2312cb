/* common-feed.h - the change feed of one table on a loop, with a scripted
   store and a handler that counts.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_FEED_H
#define KNAPWEEDFORK_TEST_COMMON_FEED_H

#include "common-listener.h"
#include "platform/feed.h"

/* Age at which an instance polls the store, shorter than the real one.  */
#define FEED_FIXTURE_MAX_AGE_NS (300 * KWF_NS_PER_MS)

typedef struct
{
  struct ev_loop *loop;
  listener_t *store;
  client_t *client;
  store_client_t *store_client;
  feed_t *feed;
  storeclock_t clock;
  /* The scripted store.  */
  int64_t version;    /* of its only row, "k" */
  bool row_gone;      /* the row was removed at VERSION */
  bool history_gone;  /* answers polls with 410: it no longer has the changes
                         since the requested version */
  int refusal;        /* status that it answers; 0: it answers well */
  int era;            /* that it names; 0: none */
  bool silent;        /* does not answer */
  bool silent_reads;  /* does not answer reads of all rows */
  bool hold_requests; /* does not answer requests; the test answers the last
                         one, on waiting_connection */
  int answer_age_ms;  /* answers were made this long before they arrive */
  connection_t *waiting_connection; /* of a poll that waits for a change, or of
                                       the last request that was held */
  int n_full_reads;                 /* reads of all rows */
  int n_polls;
  /* The instance.  */
  int64_t max_age_ns;
  int64_t fresh_ms;
  bool few_rows;
  int64_t row;    /* version of "k" that is known */
  bool removed;   /* that version is its removal */
  bool went_back; /* an older row was delivered */
  int n_complete;
  int n_dated;
  kwf_table_date_event_t date; /* the last one that was told */
  int n_published;
  kwf_feed_t published; /* the last message; its rows are no longer valid */
} feed_fixture_t;

/* Answers with the row, or without it.  */
void feed_fixture_reply (const feed_fixture_t *fixture,
                         connection_t *connection, bool with_row);
/* The store's clock.  */
int64_t feed_fixture_store_ms (void);

/* Makes the feed; the table has VERSION, 0: nothing has been written yet.
   MAX_AGE 0: it polls for others.  */
void feed_fixture_make (feed_fixture_t *fixture, int64_t max_age,
                        int64_t version);
/* The same, and waits until the rows were read; at version 7 without
   VERSION.  */
void feed_fixture_start_at (feed_fixture_t *fixture, int64_t max_age,
                            int64_t version);
void feed_fixture_start (feed_fixture_t *fixture, int64_t max_age);

/* Delivers another instance's message, sent DELAY_MS ago or just now, with row
   "k" at REVISION.  */
void feed_fixture_receive_delayed (const feed_fixture_t *fixture,
                                   int64_t after, int64_t revision,
                                   bool with_row, int64_t delay_ms);
void feed_fixture_receive (const feed_fixture_t *fixture, int64_t after,
                           int64_t revision, bool with_row);

/* Fixtures of cmocka.  */
int feed_fixture_set_up (void **state);
int feed_fixture_tear_down (void **state);

#endif
