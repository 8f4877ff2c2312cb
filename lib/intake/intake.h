/* intake.h - one account of the memory that an instance holds for callers.

   Load pattern: hundreds of callers send large bodies at once, most stop just
   short of the end and stay open, or do not read their answers, beside
   ordinary callers with small requests.  The limits of one request and of the
   number of connections together allow far more than the memory of an
   instance, so the sum is bounded as well.

   Each connection has an entry, which is charged for what is held for it: its
   own buffers, the body that arrives or waits for its answer, the copy that is
   sent to a server, and the answer that was not read yet.  A charge that does
   not fit ends others first: those that waited for their callers without
   progress, then the largest.  A reserve can be charged only for entries that
   stay small, so large bodies cannot keep out ordinary requests.

   Uses no sockets; the clock is passed in.  */

#ifndef KNAPWEEDFORK_LIB_INTAKE_INTAKE_H
#define KNAPWEEDFORK_LIB_INTAKE_INTAKE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct intake intake_t;
typedef struct intake_entry intake_entry_t;

/* An entry that holds at most this much beyond its connection is small.
   Ordinary prompts of 1,500 tokens need about 8 KiB, twice with the copy for
   the server, and 16 KiB for a stream.  */
#define INTAKE_SMALL_BYTES ((size_t)64 << 10)

/* The part of the account that only small entries can use.  */
#define INTAKE_RESERVE_PART 4

/* Without progress for this long, a caller may be ended when the account is
   full.  A caller in normal operation has no pause of 2 s: it has written its
   request before it sends it, and a lost packet is sent again within 1 s.  */
#define INTAKE_STALL_NS INT64_C (2000000000)

/* What is held must arrive or be read within this time at its mean rate, or
   the caller counts as without progress.  It is the time in which a whole
   request must be read with the default idle time, so no caller that can
   succeed is slower.  */
#define INTAKE_WHOLE_S 60

typedef enum
{
  INTAKE_IDLE,   /* between requests */
  INTAKE_HEAD,   /* the request line was read */
  INTAKE_BODY,   /* the headers were read */
  INTAKE_HELD,   /* passed on, and nothing waits for the caller: never ended */
  INTAKE_ANSWER, /* the caller has to read */
  INTAKE_ENDED   /* refused or broken off: its connection is being closed */
} intake_stage_t;

/* Why an entry was ended.  */
typedef enum
{
  INTAKE_NO_PROGRESS,
  INTAKE_LARGEST,
  INTAKE_FULL,        /* its own charge did not fit */
  INTAKE_CONNECTIONS, /* too many connections, and it had least progress */
  N_INTAKE_CAUSES
} intake_cause_t;

/* Members are private to intake.c, except for OWNER.  */
struct intake_entry
{
  intake_entry_t *next;
  intake_entry_t *previous;
  void *owner;
  const void *group; /* the listener */
  intake_stage_t stage;
  bool closing; /* ended between requests */
  size_t base;  /* held as long as the connection */
  size_t held;
  int64_t due_ns; /* from then on it is without progress */
};

/* ENTRY, now INTAKE_ENDED, must give back what it holds beyond its base, with
   intake_release.  Must not charge, add or remove entries.  */
typedef void (*intake_end_fn_t) (intake_entry_t *entry, intake_cause_t cause);

typedef struct
{
  size_t total_bytes;
  size_t min_bytes_per_s; /* progress below this rate is none */
} intake_limits_t;

typedef struct
{
  size_t held_bytes;
  size_t peak_bytes;
  size_t entries;
  uint64_t ended[N_INTAKE_CAUSES];
} intake_counts_t;

intake_t *intake_new (const intake_limits_t *limits, intake_end_fn_t end);
void intake_free (intake_t *intake);

/* The limit of the account for an instance with MEMORY_MB (0: not told) whose
   requests have bodies of at most MAX_BODY_BYTES.  */
size_t intake_default_bytes (int64_t memory_mb, size_t max_body_bytes);

/* Adds ENTRY, with stage INTAKE_IDLE and BASE bytes; OWNER and group are set
   by the caller.  False: there is no room, and ENTRY is INTAKE_ENDED.  */
bool intake_add (intake_t *intake, intake_entry_t *entry, size_t base,
                 int64_t now_ns);
void intake_remove (intake_t *intake, intake_entry_t *entry);

/* Releases what ENTRY holds beyond its base.  */
void intake_release_request (intake_t *intake, intake_entry_t *entry);

/* Sets the stage, unless ENTRY is INTAKE_ENDED.  */
void intake_set_stage (intake_entry_t *entry, intake_stage_t stage,
                       int64_t now_ns);

/* BYTES arrived or were read.  */
void intake_progress (const intake_t *intake, intake_entry_t *entry,
                      size_t bytes, int64_t now_ns);

/* Charges ENTRY for BYTES more.  False: they do not fit.  Then nothing is
   charged, and ENTRY is INTAKE_ENDED; END is not called for it.  */
bool intake_charge (intake_t *intake, intake_entry_t *entry, size_t bytes,
                    int64_t now_ns);
void intake_release (intake_t *intake, intake_entry_t *entry, size_t bytes);

/* Ends the entry of GROUP that waits for its caller with the least progress,
   if it had none for INTAKE_STALL_NS.  */
void intake_end_idlest (intake_t *intake, const void *group, int64_t now_ns);

const intake_counts_t *intake_counts (const intake_t *intake);
size_t intake_limit_bytes (const intake_t *intake);
const char *intake_cause_name (intake_cause_t cause);

#endif
