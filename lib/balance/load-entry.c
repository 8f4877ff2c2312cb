#include "load-entry.h"

#include <glib.h>
#include <string.h>

/* Last byte of the names of the two further kinds of entries.  */
#define READING_SUFFIX '\x1e'
#define SPEED_SUFFIX '\x1f'

/* Pace and age in one number: PACE x 1,000 + age in ms.  */
#define PACE_FACTOR 1000
#define PACE_MAX 10000

/* The sums of the speed are sent in hundredths.  */
#define SPEED_UNIT 0.01
/* More is not plausible.  */
#define SPEED_MAX 1e12

void
load_counts_add (load_counts_t *sum, const load_counts_t *part, int sign)
{
  sum->open += sign * part->open;
  sum->unanswered += sign * part->unanswered;
  sum->reading_tokens += sign * part->reading_tokens;
  sum->speed_sum += sign * part->speed_sum;
  sum->speed_weight += sign * part->speed_weight;
  if (sign < 0 || !part->pace || (sum->pace && part->pace_ns <= sum->pace_ns))
    return;
  sum->pace = part->pace;
  sum->pace_ns = part->pace_ns;
}

static const char *
name_with (const char *server, char suffix, kwf_effects_t *effects)
{
  size_t size = strlen (server);
  char *name = kwf_effects_alloc (effects, size + 2);
  memcpy (name, server, size);
  name[size] = suffix;
  name[size + 1] = '\0';
  return name;
}

static int64_t
pace_code (const load_counts_t *counts, int64_t now_ns)
{
  int64_t age_ns = MAX (now_ns - counts->pace_ns, 0);
  if (counts->pace <= 0 || age_ns >= LOAD_PACE_AGE_NS)
    return 0;
  return (int64_t)MIN (counts->pace, PACE_MAX) * PACE_FACTOR
         + age_ns / KWF_NS_PER_MS;
}

size_t
load_entry_put (kwf_server_load_t *list, const char *server,
                const load_counts_t *counts, bool with_speed, int64_t now_ns,
                kwf_effects_t *effects)
{
  size_t n = 0;
  if (counts->open)
    list[n++] = (kwf_server_load_t){ kwf_effects_strdup (effects, server),
                                     counts->open, counts->unanswered };
  int64_t pace = pace_code (counts, now_ns);
  if (pace || counts->reading_tokens)
    list[n++]
        = (kwf_server_load_t){ name_with (server, READING_SUFFIX, effects),
                               counts->reading_tokens, pace };
  int64_t weight = (int64_t)(counts->speed_weight / SPEED_UNIT);
  if (with_speed && weight > 0)
    list[n++] = (kwf_server_load_t){ name_with (server, SPEED_SUFFIX, effects),
                                     (int64_t)(counts->speed_sum / SPEED_UNIT),
                                     weight };
  return n;
}

static void
read_reading (const kwf_server_load_t *entry, load_counts_t *counts,
              int64_t now_ns)
{
  int64_t pace = entry->reading / PACE_FACTOR;
  counts->reading_tokens = entry->open;
  if (pace <= 0 || pace > PACE_MAX)
    return;
  counts->pace = (int)pace;
  counts->pace_ns = now_ns - entry->reading % PACE_FACTOR * KWF_NS_PER_MS;
}

static void
read_speed (const kwf_server_load_t *entry, load_counts_t *counts)
{
  double sum = (double)entry->open * SPEED_UNIT;
  double weight = (double)entry->reading * SPEED_UNIT;
  if (weight <= 0 || sum < 0 || sum > SPEED_MAX)
    return;
  counts->speed_sum = sum;
  counts->speed_weight = weight;
}

char *
load_entry_read (const kwf_server_load_t *entry, load_counts_t *counts,
                 int64_t now_ns)
{
  size_t size = strlen (entry->server);
  int last = size ? (unsigned char)entry->server[size - 1] : 0;
  *counts = (load_counts_t){ 0 };
  if (last == READING_SUFFIX)
    read_reading (entry, counts, now_ns);
  else if (last == SPEED_SUFFIX)
    read_speed (entry, counts);
  else
    {
      counts->open = entry->open;
      counts->unanswered = entry->reading;
      return g_strdup (entry->server);
    }
  return g_strndup (entry->server, size - 1);
}
