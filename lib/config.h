/* config.h - the configuration in force: both lists and the keys.

   It is built from the table rows that the session reads, and never replaced
   by an older one (docs/design.md section 8).  This module also runs the
   operators' commands, which change the rows by compare-and-set.  */

#ifndef KNAPWEEDFORK_CONFIG_H
#define KNAPWEEDFORK_CONFIG_H

#include <stdbool.h>

#include <knapweedfork/core.h>
#include <knapweedfork/lists.h>

#include "session.h"

typedef struct config config_t;

config_t *config_new (const kwf_core_options_t *options);
void config_free (config_t *config);

/* Process EVENT: rows of list/ and key/ in CHANGES, operators' commands,
   replies to their transactions, and WITHDRAW messages from peers.  Return
   whether no other module needs EVENT.  */
bool config_step (config_t *config, session_t *session,
                  const kwf_event_t *event, const session_changes_t *changes,
                  kwf_effects_t *effects);

/* Lists in force; NULL until there are any.  */
const kwf_lists_t *config_lists (const config_t *config);

/* Version of the lists in force; 0 until there are any.  */
int64_t config_version (const config_t *config);

/* Number that is higher after each change of the lists or of a key.  Code that
   keeps a looked-up result can tell from it when to look it up again.  */
uint64_t config_generation (const config_t *config);

/* Organisation of the key with DIGEST; NULL if the key is unknown, withdrawn
   or suspended.  */
const char *config_key_organisation (const config_t *config,
                                     const char *digest);

/* Whether the key with DIGEST is known, but withdrawn or suspended.  */
bool config_key_disabled (const config_t *config, const char *digest);

/* Time in nanoseconds of the next tick that this module needs; INT64_MAX:
   none.  */
int64_t config_next_tick_ns (const config_t *config);

#endif
