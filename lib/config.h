/* config.h - the configuration in force: both lists and the keys.

   Built from the rows that the session hands on; it never goes back to an
   older row (docs/design.md section 8).  Also runs the operators' commands,
   which change the rows by compare-and-set.  */

#ifndef KNAPWEEDFORK_CONFIG_H
#define KNAPWEEDFORK_CONFIG_H

#include <stdbool.h>

#include <knapweedfork/core.h>
#include <knapweedfork/lists.h>

#include "session.h"

typedef struct config config_t;

config_t *config_new (const kwf_core_options_t *options);
void config_free (config_t *config);

/* Take rows of list/ and key/ from NEWS; take operator commands, their
   store replies, WITHDRAW messages of peers.  Return true when the event
   was the configuration's alone.  */
bool config_step (config_t *config, session_t *session,
                  const kwf_event_t *event, const session_changes_t *news,
                  kwf_effects_t *effects);

/* Lists in force; NULL before the first.  */
const kwf_lists_t *config_lists (const config_t *config);

/* Version of the lists in force; 0 before the first.  */
int64_t config_version (const config_t *config);

/* Rises with each change of the lists or of any key, so that holders of
   looked-up results know when to look again.  */
uint64_t config_generation (const config_t *config);

/* Organisation of the key with DIGEST, or NULL when the key is unknown,
   withdrawn or suspended.  */
const char *config_key_organisation (const config_t *config,
                                     const char *digest);

/* Whether the key with DIGEST is known and withdrawn or suspended.  */
bool config_key_disabled (const config_t *config, const char *digest);

int64_t config_deadline_ns (const config_t *config);

#endif
