/* crashstate.h - state shared by crash.c, crashtrial.c and crashtable.c.  */

#ifndef KNAPWEEDFORK_CRASHSTATE_H
#define KNAPWEEDFORK_CRASHSTATE_H

#include <glib.h>

#include "crash.h"
#include "crashrow.h"

#define CRASH_SUSPICION_NS (60 * KWF_NS_PER_S)
#define CRASH_QUARANTINE_NS (600 * KWF_NS_PER_S)
/* Pause before a write that failed is repeated.  */
#define CRASH_WRITE_RETRY_NS (1 * KWF_NS_PER_S)

/* Fingerprints that finished lately are kept in this many places; a later
   one of the same place takes it over.  */
#define CRASH_FINISHED_SLOTS 16384

typedef struct
{
  uint64_t fingerprint;
  int64_t at_ns;
} finished_request_t;

typedef struct
{
  uint64_t fingerprint;
  crash_state_t state;
  crash_loss_t lost[CRASHROW_MAX_LOST];
  int n_lost;
  int64_t until_ns;       /* end of suspicion or quarantine */
  int64_t cleanup_ns;     /* when the entry and its row are removed */
  int64_t trial_until_ns; /* TRIAL: then the holder counts as gone */
  int64_t version;        /* of the row; 0: none known */
  bool seen_here;         /* a loss was found by this instance */
  bool own_trial;         /* this instance runs or asks for the trial */
  bool finished;          /* a copy finished before the crash */
  bool proven;            /* its trial crashed the second server */
  char *server;           /* of the trial */
  uint64_t incarnation;   /* of that server */
  int64_t trial_version;  /* of trial/SERVER */
} crash_entry_t;

typedef struct
{
  uint64_t fingerprint;
  char *server;
  uint64_t incarnation;
  bool broken;
  int64_t until_ns;
} ended_run_t;

/* A transaction that waits for its answer, or for its next try.  */
typedef struct
{
  kwf_handle_t op;
  bool is_trial_request; /* asks for a trial; else a write that may be repeated
                          */
  uint64_t fingerprint;
  kwf_handle_t request;
  char *server; /* of trial/SERVER, or NULL */
  int64_t version;
  int64_t trial_version;
  char *value; /* new row; NULL deletes it */
  int tries;
  int64_t retry_ns; /* above 0: waiting to be repeated */
} crash_write_t;

/* What is known of trial/SERVER.  */
typedef struct
{
  int64_t version;
  int64_t until_ns; /* 0: free */
} trial_lock_t;

struct crash
{
  /* Losses that quarantine a fingerprint, and whether one that has fewer may
     run only as a trial.  Without trials nothing is written to the table:
     peers are told.  */
  int limit;
  bool trials;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  char *instance;
  GHashTable *entries; /* fingerprint to crash_entry_t */
  GArray *notes;       /* of ended_run_t */
  GHashTable *writes;  /* op to crash_write_t */
  GHashTable *locks;   /* server to trial_lock_t */
  finished_request_t *finished;
  GArray *results; /* of crash_result_t */
  GArray *taken;
  uint64_t generation;
  uint64_t next_op;
  int64_t deadline_ns;
};

crash_entry_t *crash_find (const crash_t *crash, uint64_t fingerprint);
crash_entry_t *crash_find_or_add (crash_t *crash, uint64_t fingerprint);
void crash_remove (crash_t *crash, const crash_entry_t *entry);
int64_t crash_now (const crash_t *crash);
void crash_wake_at (crash_t *crash, int64_t time_ns);
void crash_set_expiry (crash_t *crash, crash_entry_t *entry, int64_t until_ns);
bool crash_has_loss (const crash_entry_t *entry, const char *server,
                     uint64_t incarnation);

/* Quarantine ENTRY; WRITE: and write its row.  */
void crash_quarantine (crash_t *crash, crash_entry_t *entry, bool write,
                       kwf_effects_t *effects);

/* ENTRY was quarantined for a crash during its trial.  Only then it explains
   the crashes for others: one that was lost on both servers at once may have
   run beside the cause.  */
void crash_mark_proven (crash_t *crash, crash_entry_t *entry,
                        kwf_effects_t *effects);

/* The fingerprint turned out harmless: remove ENTRY and its row.  */
void crash_clear (crash_t *crash, crash_entry_t *entry,
                  kwf_effects_t *effects);

/* Whether other fingerprints were quarantined for each loss of ENTRY.  */
bool crash_is_explained (const crash_t *crash, const crash_entry_t *entry);

/* Whether a copy of FINGERPRINT has finished at this instance lately.  */
bool crash_has_finished (const crash_t *crash, uint64_t fingerprint);

/* The trial of ENTRY ended without an answer.  */
void crash_back_to_suspect (crash_t *crash, crash_entry_t *entry);

/* What is known of trial/SERVER.  */
trial_lock_t *crash_trial_lock (crash_t *crash, const char *server);

void crash_add_result (crash_t *crash, uint64_t fingerprint,
                       kwf_handle_t request, bool granted, bool wait);

/* Emit the transaction of WRITE and keep it until its answer.  */
void crash_send_write (crash_t *crash, crash_write_t *write,
                       kwf_effects_t *effects);

void crash_write_free (gpointer write);

/* Value of the row of ENTRY; free with free.  */
char *crash_row_text (const crash_t *crash, const crash_entry_t *entry,
                      const char *state, int64_t until_ns);

/* Replace the row of ENTRY by VALUE (owned; NULL deletes it), and free the
   trial of its server when it is this instance's.  */
void crash_write_row (crash_t *crash, crash_entry_t *entry, char *value,
                      kwf_effects_t *effects);

/* Take a row of crash/ that was read.  */
void crash_apply_row (crash_t *crash, const kwf_row_t *row,
                      kwf_effects_t *effects);

bool crash_handle_reply (crash_t *crash, kwf_handle_t op,
                         const kwf_store_reply_t *reply,
                         kwf_effects_t *effects);
void crash_repeat_writes (crash_t *crash, int64_t now_ns,
                          kwf_effects_t *effects);

#endif
