/* demand.h - demand for each model over the fleet: requested tokens per
   second, and requests that wait for a copy of the model (docs/design.md
   section 13).

   Each instance publishes its own demand in its session row and adds up the
   rows of all instances.  In arguments, ADAPTER NULL or "" means the model
   itself, unless stated otherwise.  Rates decay with a time constant of 3
   s.  */

#ifndef KNAPWEEDFORK_DEMAND_H
#define KNAPWEEDFORK_DEMAND_H

#include <glib.h>
#include <stdbool.h>

#include <knapweedfork/clock.h>

typedef struct demand demand_t;

/* Requests that wait for a model, summed over the fleet.  */
typedef struct
{
  bool waiting;
  int priority;        /* of the most urgent request; 0 is the highest */
  double tokens;       /* of all waiting requests */
  int64_t deadline_ns; /* deadline of the last request */
  uint64_t excluded;   /* regions in which the most urgent one must not be
                          served (lib/evacuation/regions.h) */
} demand_wait_t;

demand_t *demand_new (const kwf_clock_t *clock);
void demand_free (demand_t *demand);

/* Add TOKENS, which were admitted for the model, to its rate.  */
void demand_add_tokens (demand_t *demand, const char *model,
                        const char *adapter, double tokens);

/* Record that requests with TOKENS in total wait on this instance for a copy
   of the model.  A later call for the same model replaces the values.  They
   expire at DEADLINE_NS.  */
void demand_set_waiting (demand_t *demand, const char *model,
                         const char *adapter, int priority, double tokens,
                         int64_t deadline_ns);

/* Set the regions in which the requests of the last such call must not be
   served.  */
void demand_set_excluded (demand_t *demand, const char *model,
                          const char *adapter, uint64_t excluded);

/* Record that no request waits on this instance any more.  */
void demand_clear_waiting (demand_t *demand, const char *model,
                           const char *adapter);

/* Replace the demand of INSTANCE by VALUE, the text of its session row or of a
   DEMAND message.  VALUE NULL: the row was deleted.  */
void demand_apply_row (demand_t *demand, const char *instance,
                       const char *value);

/* Return the members "demand", "wanted" and "excluded" of this instance's
   session row as a JSON object.  Free it with g_free.  */
char *demand_to_json (demand_t *demand);

/* Return whether, since the last call of this function, a request began to
   wait or a waiting request became more urgent; clears the flag.  */
bool demand_consume_new_waiting (demand_t *demand);

/* demand_rate returns the rate in tokens per second, demand_waiting the
   waiting requests, both summed over all instances.  Here
   ADAPTER NULL means the model with all its adapters, and "" the model
   itself.  */
double demand_rate (const demand_t *demand, const char *model,
                    const char *adapter);
demand_wait_t demand_waiting (const demand_t *demand, const char *model,
                              const char *adapter);

/* Return the time of the last request for the model or one of its adapters;
   INT64_MIN: not lately.  */
int64_t demand_last_request_ns (const demand_t *demand, const char *model);

/* Whether any instance has demand for any model.  */
bool demand_any (const demand_t *demand);

/* Whether the model had no request in the last 60 s.  */
bool demand_is_cold (const demand_t *demand, const char *model,
                     const char *adapter);

#endif
