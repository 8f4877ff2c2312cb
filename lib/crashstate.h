/* crashstate.h - state shared by crash.c, crashtrial.c and crashtable.c.  */

#ifndef KNAPWEEDFORK_CRASHSTATE_H
#define KNAPWEEDFORK_CRASHSTATE_H

#include <glib.h>

#include "crash.h"
#include "crashrow.h"

/* With trials, the second loss is that of a suspect that ran alone.  */
#define CRASH_TRIAL_LOSSES 2
#define CRASH_SUSPICION_NS (60 * KWF_NS_PER_S)
#define CRASH_QUARANTINE_NS (600 * KWF_NS_PER_S)
/* Delay before a failed write is repeated.  */
#define CRASH_WRITE_RETRY_NS (1 * KWF_NS_PER_S)
#define CRASH_WRITE_TRIES 60
/* Rows of evidence, where there are no trials of fingerprints.  */
#define CRASH_EVIDENCE_PREFIX "crash/seen/"

/* Losses that are kept of a feature.  */
#define CRASH_MAX_LOST CRASHROW_MAX_LOST
/* Lost servers that make a feature the cause of crashes.  */
#define CRASH_CAUSE_SERVERS 4
/* Features that are kept at most; no more are counted then.  */
#define CRASH_MAX_ENTRIES 20000

/* Slots for the fingerprints that finished lately; a later fingerprint with
   the same slot replaces the former one.  */
#define CRASH_FINISHED_SLOTS 16384

typedef struct
{
  uint64_t fingerprint;
  int64_t at_ns;
} finished_request_t;

/* A crash that some instance has found.  */
typedef struct
{
  uint64_t id; /* hash of the server and its incarnation */
  int64_t at_ns;
} crash_seen_t;

/* What a row of evidence says of its feature.  */
typedef struct
{
  int n_lost;
  int n_proofs;
  bool is_held;  /* to be the cause of its losses */
  bool finished; /* a request with it was answered before */
} crash_kept_t;

typedef struct
{
  uint64_t fingerprint;
  crash_state_t state;
  /* Servers that crashed while they ran a request with it.  */
  crash_loss_t lost[CRASH_MAX_LOST];
  int n_lost;
  int64_t first_ns; /* of the first loss */
  int64_t last_ns;  /* of the last one */
  int moment_of[CRASH_MAX_LOST];
  int n_moments;      /* servers that are lost together count as one */
  int64_t moment_ns;  /* when the last of them began */
  int64_t hearing_ns; /* end of the hearing before a verdict; 0: none */
  int64_t row_ns;     /* when its row is written; 0: it is not */
  crash_kept_t kept;  /* what its row says */
  bool writes_row;    /* a write of it awaits its reply */
  bool wrote_row;     /* this instance wrote the row that is known */
  uint64_t verdict;   /* number of the verdict against it; 0: none */
  int64_t verdict_ns;
  int64_t until_ns;       /* end of suspicion or quarantine */
  int64_t cleanup_ns;     /* when the entry and its row are deleted */
  int64_t trial_until_ns; /* CRASH_TRIAL: when the holder is presumed dead */
  int64_t version;        /* of the row; 0: no row known */
  bool seen_here;         /* this instance found one of the losses */
  bool owns_trial_row;    /* this instance has the row trial/SERVER, or has
                             requested it and awaits the reply; it must release
                             the row */
  bool finished;          /* a request with it finished before the crash */
  bool proven;            /* a server crashed during its trial */
  int n_proofs; /* servers that crashed in a trial, where only parts have them
                 */
  int64_t proof_ns;      /* when the last of them was counted */
  char *server;          /* of the trial */
  uint64_t incarnation;  /* of that server */
  int64_t trial_version; /* of trial/SERVER */
} crash_entry_t;

/* A request whose connection to a server broke or was closed by this
   instance; the server may turn out to have crashed.  */
typedef struct
{
  uint64_t fingerprint;
  char *server;
  uint64_t incarnation;
  bool broken;
  int64_t until_ns;
} ended_run_t;

/* A table transaction that awaits its reply or its next try.  It writes the
   row crash/FINGERPRINT, or crash/seen/FEATURE where there are no trials of
   fingerprints.  With TRIAL_SERVER it also writes the row
   trial/SERVER: a trial request takes this lock, any other write deletes the
   row and so releases the lock.  */
typedef struct
{
  kwf_handle_t op;
  bool is_trial_request; /* requests a trial; else a write that may be repeated
                          */
  uint64_t fingerprint;
  kwf_handle_t request;
  char *trial_server; /* SERVER of trial/SERVER; NULL: none */
  int64_t version;
  int64_t trial_version;
  char *value;       /* new text of crash/FINGERPRINT; NULL deletes the row */
  crash_kept_t kept; /* what VALUE says */
  int tries;
  int64_t next_try_ns; /* time of the next try; 0: it awaits its reply */
} crash_write_t;

/* The lock on a server for trials: what is known of the row trial/SERVER.  */
typedef struct
{
  int64_t version;
  int64_t until_ns; /* 0: no trial holds the server */
} trial_lock_t;

/* The lock trial/parts: one request at a time, over all instances, may show
   whether a part of its prompt crashes servers.  */
typedef struct
{
  int64_t until_ns;     /* end of the trial that is known; 0: there is none */
  int64_t version;      /* of the row */
  bool owned;           /* the trial is this instance's */
  crash_loss_t broken;  /* server that broke its run; NULL: none has */
  kwf_handle_t op;      /* of the transaction that awaits its reply; 0: none */
  kwf_handle_t request; /* the one that is tried */
  uint64_t part;
} part_trial_t;

struct crash
{
  /* Losses after which a fingerprint is quarantined, and whether one that has
     fewer may run only as a trial.  Without trials the losses are sent to
     the other instances and kept in rows of evidence.  */
  int limit;
  bool trials;
  const kwf_clock_t *clock;
  kwf_random_t *random;
  char *instance;
  GHashTable *entries; /* fingerprint to crash_entry_t */
  GArray *crashes;     /* of crash_seen_t */
  GArray *ended_runs;  /* of ended_run_t */
  GHashTable *writes;  /* op to crash_write_t */
  GHashTable *locks;   /* server to trial_lock_t */
  finished_request_t *finished;
  GArray *results; /* of crash_result_t */
  GArray *taken;   /* of crash_result_t, returned by crash_take_results */
  uint64_t generation;
  int64_t evidence_ns; /* no row of evidence is written or removed before this
                          time */
  GQueue removals;     /* of crash_write_t: rows of evidence to be removed */
  uint64_t n_verdicts;
  int64_t riders_ns; /* when verdicts are compared; 0: never */
  part_trial_t part_trial;
  uint64_t next_op;
  int64_t next_tick_ns; /* of the next timed step; INT64_MAX: none */
};

crash_entry_t *crash_find (const crash_t *crash, uint64_t fingerprint);
crash_entry_t *crash_find_or_add (crash_t *crash, uint64_t fingerprint);
void crash_remove (crash_t *crash, const crash_entry_t *entry);
int64_t crash_now (const crash_t *crash);
/* Run this module's next timed step at TIME_NS at the latest.  */
void crash_schedule_tick (crash_t *crash, int64_t time_ns);
void crash_set_expiry (crash_t *crash, crash_entry_t *entry, int64_t until_ns);
bool crash_has_loss (const crash_entry_t *entry, const char *server,
                     uint64_t incarnation);

/* Frees the contents of an ended_run_t.  */
void crash_ended_run_clear (gpointer data);

/* crash-loss.c: handle KWF_MSG_CRASH and pass it on, where this instance is a
   hub.  */
void crash_handle_message (crash_t *crash, const session_t *session,
                           const kwf_peer_event_t *peer,
                           kwf_effects_t *effects);

/* Quarantine ENTRY.  WRITE: also write its row.  */
void crash_quarantine (crash_t *crash, crash_entry_t *entry, bool write,
                       kwf_effects_t *effects);

/* Send KWF_MSG_CRASH to the instances with a link.  SERVER "": nothing
   crashed, and INCARNATION is a kwf_crash_notice_t.  */
void crash_send_message (const session_t *session, uint64_t fingerprint,
                         const char *server, uint64_t incarnation,
                         kwf_effects_t *effects);

/* crash-verdict.c: verdicts from losses alone, where there are no trials.  */

/* A loss was added to ENTRY: if there is enough evidence, hold it to be the
   cause after others were heard.  */
void crash_judge (crash_t *crash, crash_entry_t *entry,
                  kwf_effects_t *effects);
/* Give the verdicts and write the rows that are due.  */
void crash_run_verdicts (crash_t *crash, const session_t *session,
                         int64_t now_ns, kwf_effects_t *effects);

/* A request with the feature of ENTRY was answered before its losses: drop a
   verdict for which there is too little evidence then.  */
void crash_reconsider (crash_t *crash, crash_entry_t *entry);

/* Whether ENTRY was lost only with servers that another cause explains.  */
bool crash_is_rider (const crash_t *crash, const crash_entry_t *entry);

/* Whether a request with FEATURES can tell ENTRY from another part that was
   there at all of its crashes: it has no such part, or not all of them.  */
bool crash_are_apart (const crash_t *crash, const crash_entry_t *entry,
                      const uint64_t *features, size_t n);

/* A request with the feature of ENTRY was answered: forget its losses.  */
void crash_acquit (crash_t *crash, const session_t *session,
                   crash_entry_t *entry, kwf_effects_t *effects);

/* Handle KWF_CRASH_CAUSE and KWF_CRASH_SOUND.  */
void crash_handle_verdict (crash_t *crash, const session_t *session,
                           const kwf_crash_t *content, kwf_effects_t *effects);

/* Tell INSTANCE, which has a new link or reports a loss that it need not have
   had, what is held to be the cause: FINGERPRINT, or 0: everything.  */
void crash_send_verdicts (crash_t *crash, const char *instance,
                          uint64_t fingerprint, kwf_effects_t *effects);

/* A server crashed during the trial of ENTRY.  Only then the entry explains
   crashes for other fingerprints: one whose two servers crashed at the same
   time may only have run beside the cause.  */
void crash_mark_proven (crash_t *crash, crash_entry_t *entry,
                        kwf_effects_t *effects);

/* crash-evidence.c: the rows crash/seen/FEATURE, by which what is known of a
   feature outlives the instances.  */
/* ENTRY has changed: write its row in a while, if it needs one.  */
void crash_keep_evidence (crash_t *crash, crash_entry_t *entry);
/* Write the row that is due and matters most, or remove one, if it is time for
   that.  */
void crash_write_evidence (crash_t *crash, const session_t *session,
                           int64_t now_ns, kwf_effects_t *effects);
void crash_apply_evidence (crash_t *crash, const kwf_row_t *row,
                           kwf_effects_t *effects);
/* The feature of ENTRY is cleared: remove its row.  */
void crash_remove_evidence (crash_t *crash, const crash_entry_t *entry);
/* Handle the reply to WRITE, which is freed or, if it removes a row, sent
   again.  */
void crash_evidence_written (crash_t *crash, crash_write_t *write,
                             const kwf_store_reply_t *reply,
                             kwf_effects_t *effects);

/* Keep WRITE, which has failed, and send it again later.  */
void crash_write_again (crash_t *crash, crash_write_t *write);

/* Count LOSS, which is the last one of ENTRY, among the crashes.  */
void crash_note_crash (crash_t *crash, const crash_loss_t *loss);

/* The row of ENTRY was merged into it, and holds until UNTIL_NS: take over its
   verdict if nothing speaks against it, or judge the entry.  */
void crash_judge_row (crash_t *crash, crash_entry_t *entry, int64_t until_ns,
                      kwf_effects_t *effects);

/* crash-parts.c: the lock trial/parts.  Return false when the row or the reply
   concerns something else.  */
bool crash_apply_part_trial (crash_t *crash, const kwf_row_t *row);
/* ENTRY has N_PROOFS, by a message or a row.  */
void crash_add_proof (crash_t *crash, crash_entry_t *entry, int n_proofs);
/* If the server of this instance's trial has crashed, count that and end the
   trial.  */
void crash_check_part_trial (crash_t *crash, const session_t *session,
                             kwf_effects_t *effects);
bool crash_handle_part_trial (crash_t *crash, kwf_handle_t op,
                              const kwf_store_reply_t *reply);

/* The fingerprint is harmless: remove ENTRY and delete its row.  */
void crash_clear (crash_t *crash, crash_entry_t *entry,
                  kwf_effects_t *effects);

/* Whether a fingerprint other than FINGERPRINT explains the crash of SERVER: a
   proven one or, with UNFINISHED, a quarantined one that has never
   finished.  */
bool crash_is_loss_explained (const crash_t *crash, uint64_t fingerprint,
                              const char *server, uint64_t incarnation,
                              bool unfinished);

/* Whether each loss of ENTRY is explained by another fingerprint that is
   proven.  */
bool crash_is_explained (const crash_t *crash, const crash_entry_t *entry);

/* Whether a request with FINGERPRINT has finished at this instance within
   CRASH_QUARANTINE_NS.  */
bool crash_has_finished (const crash_t *crash, uint64_t fingerprint);

/* The trial of ENTRY ended without an answer: it is a suspect again.  */
void crash_back_to_suspect (crash_t *crash, crash_entry_t *entry);

/* The lock of SERVER for trials; added when there is none.  */
trial_lock_t *crash_trial_lock (crash_t *crash, const char *server);

void crash_add_result (crash_t *crash, uint64_t fingerprint,
                       kwf_handle_t request, bool granted, bool wait);

/* Emit the transaction of WRITE and keep WRITE until the reply.  See
   crash_write_t for the rows.  */
void crash_send_write (crash_t *crash, crash_write_t *write,
                       kwf_effects_t *effects);

void crash_write_free (gpointer write);

/* JSON text of the row of ENTRY; free with free.  */
char *crash_row_text (const crash_t *crash, const crash_entry_t *entry,
                      const char *state, int64_t until_ns);

/* Replace the row of ENTRY by VALUE (owned; NULL deletes it).  If this
   instance holds the trial of its server, release it in the same
   transaction.  */
void crash_write_row (crash_t *crash, crash_entry_t *entry, char *value,
                      kwf_effects_t *effects);

/* Apply a row of crash/ or trial/ that was read.  */
void crash_apply_row (crash_t *crash, const kwf_row_t *row,
                      kwf_effects_t *effects);

bool crash_handle_reply (crash_t *crash, kwf_handle_t op,
                         const kwf_store_reply_t *reply,
                         kwf_effects_t *effects);
void crash_retry_writes (crash_t *crash, int64_t now_ns,
                         kwf_effects_t *effects);

#endif
