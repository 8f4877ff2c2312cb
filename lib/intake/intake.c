#include "intake.h"

#include <glib.h>

#include <knapweedfork/clock.h>

/* Half of the rest of an instance's memory is needed by the program, its lists
   and libraries, and a fifth by answers (net/instance.c).  */
#define MEMORY_PART 4
/* Without memory_mb: 4,096 connections of 24 KiB, the default limit, and as
   much again for bodies and answers.  */
#define UNTOLD_BYTES ((size_t)256 << 20)
/* A body, its copy for a server and a second copy, beside the reserve.  */
#define MIN_BODIES 4

/* Once the account is full, this part of it is freed, so that the entries are
   not searched again for each of the next charges.  */
#define FREED_PART 16

struct intake
{
  intake_limits_t limits;
  intake_end_fn_t end;
  intake_entry_t *entries;
  size_t closing_bytes; /* of connections without a request that were ended and
                           close at once */
  intake_counts_t counts;
};

intake_t *
intake_new (const intake_limits_t *limits, intake_end_fn_t end)
{
  intake_t *intake = g_new0 (intake_t, 1);
  intake->limits = *limits;
  intake->limits.min_bytes_per_s = MAX (limits->min_bytes_per_s, 1);
  intake->end = end;
  return intake;
}

void
intake_free (intake_t *intake)
{
  g_free (intake);
}

size_t
intake_default_bytes (int64_t memory_mb, size_t max_body_bytes)
{
  size_t bytes
      = memory_mb ? ((size_t)memory_mb << 20) / MEMORY_PART : UNTOLD_BYTES;
  return MAX (bytes, MIN_BODIES * max_body_bytes);
}

static bool
waits_for_caller (const intake_entry_t *entry)
{
  return entry->stage != INTAKE_HELD && entry->stage != INTAKE_ENDED;
}

static bool
is_stalled (const intake_entry_t *entry, int64_t now_ns)
{
  return waits_for_caller (entry) && now_ns >= entry->due_ns;
}

/* What ENTRY holds beyond its connection.  */
static size_t
request_bytes (const intake_entry_t *entry)
{
  return entry->held > entry->base ? entry->held - entry->base : 0;
}

static bool
fits (const intake_t *intake, const intake_entry_t *entry, size_t bytes,
      size_t margin)
{
  size_t limit = intake->limits.total_bytes;
  if (entry->held + bytes > entry->base + INTAKE_SMALL_BYTES)
    limit -= limit / INTAKE_RESERVE_PART;
  else
    limit += intake->closing_bytes;
  return intake->counts.held_bytes + bytes + margin <= limit;
}

static bool
is_larger (const intake_entry_t *entry, const intake_entry_t *than)
{
  return !than || request_bytes (entry) > request_bytes (than);
}

/* The entry to end next so that BYTES more fit for ENTRY; NULL: none.  An
   answer has cost a server its work, so any arriving body that is not small
   gives way to it, and a body gives way only to smaller ones.  */
static intake_entry_t *
find_victim (const intake_t *intake, const intake_entry_t *entry, size_t bytes,
             int64_t now_ns, intake_cause_t *cause)
{
  intake_entry_t *stalled = NULL;
  intake_entry_t *largest = NULL;
  bool arrives = entry->stage <= INTAKE_BODY;
  size_t least
      = MAX (arrives ? request_bytes (entry) + bytes : 0, INTAKE_SMALL_BYTES);
  for (intake_entry_t *e = intake->entries; e; e = e->next)
    {
      if (e == entry)
        continue;
      if (is_stalled (e, now_ns) && is_larger (e, stalled))
        stalled = e;
      if ((e->stage == INTAKE_BODY || e->stage == INTAKE_HEAD)
          && request_bytes (e) > least && is_larger (e, largest))
        largest = e;
    }
  *cause = stalled ? INTAKE_NO_PROGRESS : INTAKE_LARGEST;
  return stalled ? stalled : largest;
}

static void
end_entry (intake_t *intake, intake_entry_t *entry, intake_cause_t cause)
{
  entry->closing = entry->stage == INTAKE_IDLE;
  if (entry->closing)
    intake->closing_bytes += entry->held;
  entry->stage = INTAKE_ENDED;
  intake->counts.ended[cause]++;
  intake->end (entry, cause);
}

static bool
make_room (intake_t *intake, const intake_entry_t *entry, size_t bytes,
           int64_t now_ns)
{
  size_t margin = intake->limits.total_bytes / FREED_PART;
  intake_cause_t cause;
  intake_entry_t *victim;
  while (!fits (intake, entry, bytes, margin)
         && (victim = find_victim (intake, entry, bytes, now_ns, &cause)))
    end_entry (intake, victim, cause);
  return fits (intake, entry, bytes, 0);
}

bool
intake_charge (intake_t *intake, intake_entry_t *entry, size_t bytes,
               int64_t now_ns)
{
  if (entry->stage == INTAKE_ENDED)
    return false;
  if (!fits (intake, entry, bytes, 0)
      && !make_room (intake, entry, bytes, now_ns))
    {
      entry->stage = INTAKE_ENDED;
      intake->counts.ended[INTAKE_FULL]++;
      return false;
    }
  entry->held += bytes;
  intake->counts.held_bytes += bytes;
  intake->counts.peak_bytes
      = MAX (intake->counts.peak_bytes, intake->counts.held_bytes);
  return true;
}

void
intake_release (intake_t *intake, intake_entry_t *entry, size_t bytes)
{
  bytes = MIN (bytes, entry->held);
  if (entry->closing)
    intake->closing_bytes -= bytes;
  entry->held -= bytes;
  intake->counts.held_bytes -= bytes;
}

void
intake_release_request (intake_t *intake, intake_entry_t *entry)
{
  intake_release (intake, entry, request_bytes (entry));
}

bool
intake_add (intake_t *intake, intake_entry_t *entry, size_t base,
            int64_t now_ns)
{
  entry->stage = INTAKE_IDLE;
  entry->held = 0;
  entry->base = base;
  entry->closing = false;
  entry->due_ns = now_ns + INTAKE_STALL_NS;
  entry->previous = NULL;
  entry->next = intake->entries;
  if (entry->next)
    entry->next->previous = entry;
  intake->entries = entry;
  intake->counts.entries++;
  return intake_charge (intake, entry, base, now_ns);
}

void
intake_remove (intake_t *intake, intake_entry_t *entry)
{
  intake_release (intake, entry, entry->held);
  if (entry->next)
    entry->next->previous = entry->previous;
  if (entry->previous)
    entry->previous->next = entry->next;
  else
    intake->entries = entry->next;
  intake->counts.entries--;
}

void
intake_set_stage (intake_entry_t *entry, intake_stage_t stage, int64_t now_ns)
{
  if (entry->stage == INTAKE_ENDED || entry->stage == stage)
    return;
  entry->stage = stage;
  entry->due_ns = now_ns + INTAKE_STALL_NS;
}

void
intake_progress (const intake_t *intake, intake_entry_t *entry, size_t bytes,
                 int64_t now_ns)
{
  size_t rate
      = MAX (intake->limits.min_bytes_per_s, entry->held / INTAKE_WHOLE_S);
  int64_t latest_ns = now_ns + INTAKE_STALL_NS;
  /* Bytes beyond those of the stall time count no more, so that a caller that
     sent much and stopped is without progress as soon as any other.  */
  double worth_ns = (double)bytes / (double)rate * (double)KWF_NS_PER_S;
  if (worth_ns >= (double)INTAKE_STALL_NS)
    entry->due_ns = latest_ns;
  else
    entry->due_ns
        = MIN (MAX (entry->due_ns, now_ns) + (int64_t)worth_ns, latest_ns);
}

void
intake_end_idlest (intake_t *intake, const void *group, int64_t now_ns)
{
  intake_entry_t *idlest = NULL;
  for (intake_entry_t *e = intake->entries; e; e = e->next)
    if (e->group == group && is_stalled (e, now_ns)
        && (!idlest || e->due_ns < idlest->due_ns))
      idlest = e;
  if (idlest)
    end_entry (intake, idlest, INTAKE_CONNECTIONS);
}

const intake_counts_t *
intake_counts (const intake_t *intake)
{
  return &intake->counts;
}

size_t
intake_limit_bytes (const intake_t *intake)
{
  return intake->limits.total_bytes;
}

const char *
intake_cause_name (intake_cause_t cause)
{
  static const char *const names[] = { [INTAKE_NO_PROGRESS] = "no_progress",
                                       [INTAKE_LARGEST] = "largest",
                                       [INTAKE_FULL] = "full",
                                       [INTAKE_CONNECTIONS] = "connections" };
  return names[cause];
}
