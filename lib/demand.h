/* demand.h - what is asked of each model: tokens a second over the fleet,
   and the calls that wait for a copy (docs/design.md section 13).

   ADAPTER is NULL or "" for the model itself.  Rates decay over 3 s.  */

#ifndef KNAPWEEDFORK_DEMAND_H
#define KNAPWEEDFORK_DEMAND_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/clock.h>

typedef struct demand demand_t;

/* Calls that wait for a model, summed over the fleet.  */
typedef struct
{
  bool waiting;
  int priority;        /* of the most urgent */
  double tokens;       /* of all */
  int64_t deadline_ns; /* of the last */
} demand_wait_t;

demand_t *demand_new (const kwf_clock_t *clock);
void demand_free (demand_t *demand);

/* TOKENS were admitted for the model.  */
void demand_add_tokens (demand_t *demand, const char *model,
                        const char *adapter, double tokens);

/* Calls of TOKENS in all wait for a copy until DEADLINE_NS.  A later call
   for the same model replaces the mark of this instance; it ends at the
   deadline.  */
void demand_set_waiting (demand_t *demand, const char *model,
                         const char *adapter, int priority, double tokens,
                         int64_t deadline_ns);

/* No call waits here any more.  */
void demand_clear_waiting (demand_t *demand, const char *model,
                           const char *adapter);

/* Take the demand in the session row of another instance, or in the text of
   a WANT message; VALUE NULL: the row was deleted.  */
void demand_apply_row (demand_t *demand, const char *instance,
                       const char *value);

/* The members "demand" and "wanted" of this instance's session row, as a
   JSON object; free with g_free.  */
char *demand_to_json (demand_t *demand);

/* Whether a call began to wait, or a more urgent one, since this was last
   asked.  */
bool demand_consume_new_waiting (demand_t *demand);

/* Over the fleet.  ADAPTER NULL: the model with all its adapters.  */
double demand_rate (const demand_t *demand, const char *model,
                    const char *adapter);
demand_wait_t demand_waiting (const demand_t *demand, const char *model,
                              const char *adapter);

/* When the model or one of its adapters was last asked for; INT64_MIN: not
   lately.  */
int64_t demand_last_request_ns (const demand_t *demand, const char *model);

/* Whether anything is asked for.  */
bool demand_any (const demand_t *demand);

/* Whether nothing was asked of the model in the last 60 s.  */
bool demand_is_cold (const demand_t *demand, const char *model,
                     const char *adapter);

#endif
