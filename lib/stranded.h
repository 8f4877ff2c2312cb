/* stranded.h - what follows from an instance being stranded: no backend server
   answers it, though others get answers (lib/reach/reach.h).

   A stranded instance tells the others, and is left out of all directories,
   its own included, and not ready, as if it were leaving, unless most of the
   fleet is stranded.  Requests that come all the same are handed over to other
   instances (handover.c).  */

#ifndef KNAPWEEDFORK_STRANDED_H
#define KNAPWEEDFORK_STRANDED_H

#include "reach/reach.h"
#include "session.h"

/* What other instances have told.  */
typedef struct stranded stranded_t;

stranded_t *stranded_new (const kwf_core_options_t *options);
void stranded_free (stranded_t *stranded);

/* Takes over what INSTANCE told, or what was passed on of it.  */
void stranded_note (stranded_t *stranded, const kwf_reach_t *word);
/* Whether process INCARNATION of INSTANCE has told something: it is of a build
   that does; whether it is stranded.  */
bool stranded_has_told (const stranded_t *stranded, const char *instance,
                        uint64_t incarnation);
bool stranded_has (const stranded_t *stranded, const char *instance,
                   uint64_t incarnation);

/* Notes that the server of an attempt answers, or that the attempt failed, if
   that is what EVENT says.  Call it before the attempt may end.  */
void stranded_note_attempt (kwf_core_t *core, const kwf_event_t *event);

/* Handles messages about servers that answer, answers of servers, and ticks.
 */
void stranded_step (kwf_core_t *core, const kwf_event_t *event,
                    kwf_effects_t *effects);
int64_t stranded_next_tick_ns (const kwf_core_t *core);

/* Whether this instance is stranded.  */
bool stranded_is_self (const kwf_core_t *core);
/* Whether callers are kept away from stranded instances: at most half of the
   fleet is.  And whether they are kept away from this one.  */
bool stranded_are_left_out (const kwf_core_t *core);
bool stranded_is_left_out (const kwf_core_t *core);
/* Whether MEMBER, which may be this instance, is stranded.  */
bool stranded_is_member (const kwf_core_t *core,
                         const session_member_t *member);
/* Whether failures of servers may be this instance's: it is stranded, or no
   server has answered in a round of questions.  */
bool stranded_may_be_self (const kwf_core_t *core);

#endif
