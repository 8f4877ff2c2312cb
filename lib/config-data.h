/* config-data.h - internals of config_t, for the files config*.c.  */

#ifndef KNAPWEEDFORK_LIB_CONFIG_DATA_H
#define KNAPWEEDFORK_LIB_CONFIG_DATA_H

#include <glib.h>
#include <jansson.h>

#include "config.h"
#include "key.h"

/* Time limits of a table transaction and of an operator's command.  */
#define CONFIG_STORE_NS (2 * KWF_NS_PER_S)
#define CONFIG_COMMAND_NS (8 * KWF_NS_PER_S)
/* Pause before an unanswered transaction is sent again.  The second value is
   for withdrawals that continue after the operator was answered.  */
#define CONFIG_RETRY_NS (200 * KWF_NS_PER_MS)
#define CONFIG_SLOW_RETRY_NS KWF_NS_PER_S
/* A write is assumed to be applied within this time or never.  */
#define CONFIG_IN_FLIGHT_NS (60 * KWF_NS_PER_S)
/* An open withdrawal is sent to the peers again after this time, well before
   they end their suspension of the key.  */
#define CONFIG_PUSH_NS (20 * KWF_NS_PER_S)
#define CONFIG_MAX_COMMANDS 64
#define CONFIG_MAX_SUSPENDED 10000
/* A list row keeps the apply ids of this many earlier writes.  With them, an
   instance whose write was not answered finds out whether the write took
   effect before another one replaced it.  */
#define CONFIG_MAX_EARLIER 8

#define CONFIG_PLANS_ROW_KEY "list/plans"
#define CONFIG_USES_ROW_KEY "list/uses"
#define CONFIG_API_KEY_ROW_PREFIX "key/"

typedef struct
{
  int64_t row_revision; /* of the last known change, or deletion */
  int64_t version;      /* version for conditions; 0: absent */
  char *text;           /* NULL: absent or malformed */
  GPtrArray *apply_ids; /* apply ids, the newest first */
} list_row_t;

typedef struct
{
  int64_t row_revision;
  int64_t version; /* version for conditions; 0: absent */
  char *organisation;
  bool withdrawn;
  int64_t added_ms;
} key_row_t;

typedef struct
{
  char *instance; /* instance that withdraws the key */
  int64_t until_ns;
} suspension_t;

typedef struct
{
  kwf_operator_command_t kind;
  kwf_handle_t request;
  bool replied;
  bool in_doubt;       /* a write was not answered: it may take effect */
  bool write_sent;     /* a write was sent, applied or not */
  bool op_is_read;     /* the open transaction is a read */
  kwf_handle_t op;     /* handle of the open transaction; 0: none */
  int64_t deadline_ns; /* the operator is answered by this time */
  int64_t retry_ns;    /* time of the next transaction when none is open */
  int64_t forget_ns;   /* from this time on no write of the command can take
                          effect any more */
  /* apply */
  char *plans;
  char *uses;
  char *apply_id;
  char *replaced_id; /* apply id of the lists that the write replaces; "" if
                        none */
  char *plans_value; /* rows to write, the same each time they are sent */
  char *uses_value;
  int64_t plans_version;
  int64_t uses_version;
  int64_t base_version; /* version that the operator edited */
  /* keys */
  char *digest;
  char *organisation;
  int64_t added_ms;
  int64_t tried_version; /* row version that the last write replaces */
  int64_t push_ns;       /* time of the next WITHDRAW message to each peer */
  GHashTable *confirmed; /* set: instances that were sent WITHDRAW over a link
                            that was up */
} command_t;

struct config
{
  const kwf_clock_t *clock;
  kwf_random_t *random;
  char *instance;
  list_row_t plans;
  list_row_t uses;
  kwf_lists_t *lists;
  int64_t version; /* version of the lists in force */
  uint64_t generation;
  bool from_snapshot;    /* lists and keys come from snapshots, not from
                            rows */
  GHashTable *keys;      /* digest to key_row_t */
  GHashTable *suspended; /* digest to GArray of suspension_t */
  GPtrArray *commands;   /* of command_t */
  GArray *session_rows;  /* kwf_row_t that commands read or wrote in this step,
                            for the session */
};

/* config-rows.c: table rows.

   config_update_row replaces the known row by ROW if the version of ROW is
   higher than row_revision, and returns whether it was.  It changes no lists
   in force.  list_row_value and key_row_value return the JSON value of a row;
   free with free.  */
void list_row_clear (list_row_t *row);
void key_row_free (void *row);
bool config_update_row (config_t *config, const kwf_row_t *row,
                        kwf_effects_t *effects);
/* Put the lists in force if their rows are newer than the lists in force.  If
   they cannot be read, the present lists stay in force.  */
void config_update_lists (config_t *config, kwf_effects_t *effects);
/* Update the known rows from ROWS, and put the lists in force if a list row
   changed.  */
void config_update_from_rows (config_t *config, const kwf_row_t *rows,
                              size_t n_rows, kwf_effects_t *effects);
/* Update with rows that a command read or wrote, and pass them to the session
   at the end of the step.  */
void config_add_command_rows (config_t *config, const kwf_row_t *rows,
                              size_t n_rows, kwf_effects_t *effects);
const key_row_t *config_key_row (const config_t *config, const char *digest);
/* Version of the list rows, whether or not these lists could be put in
   force.  */
int64_t config_stored_version (const config_t *config);
char *list_row_value (const char *text, const char *apply_id,
                      const list_row_t *replaced);
char *key_row_value (const char *organisation, bool withdrawn,
                     int64_t added_ms);

/* config-snapshot.c: lists and keys that were read by another module.  They
   replace all lists and keys unless their version is too low.  */
void config_take_snapshot (config_t *config, const kwf_config_event_t *event,
                           kwf_effects_t *effects);

/* config-suspend.c: keys that are refused while the outcome of their
   withdrawal is unknown.

   INSTANCE is the instance that withdraws the key; a key with several
   suspensions is refused until all of them have ended.  */
void config_suspend (config_t *config, const char *digest,
                     const char *instance, int64_t until_ns);
void config_lift_suspension (config_t *config, const char *digest,
                             const char *instance);
void config_expire_suspensions (config_t *config, kwf_effects_t *effects);
bool config_is_digest (const char *text);

/* config-command.c: operators' commands.

   commands_store_reply returns false if OP is not a transaction of a command.
   commands_rows_updated is called after new rows were read.  commands_tick
   does what is due: retries, further WITHDRAW messages, and answers to
   operators whose command has timed out.  */
void command_free (void *command);
void commands_begin (config_t *config, session_t *session,
                     const kwf_operator_event_t *event,
                     kwf_effects_t *effects);
bool commands_store_reply (config_t *config, session_t *session,
                           kwf_handle_t op, const kwf_store_reply_t *reply,
                           kwf_effects_t *effects);
void commands_rows_updated (config_t *config, kwf_effects_t *effects);
void commands_tick (config_t *config, session_t *session,
                    kwf_effects_t *effects);
bool commands_have_open_write (const config_t *config,
                               const session_t *session);
int64_t commands_next_tick_ns (const config_t *config);
command_t *command_new (config_t *config, const kwf_operator_event_t *event);
void command_end (config_t *config, command_t *command);
void command_retry_later (config_t *config, command_t *command);
/* Send TXN, whose parts are memory of EFFECTS, for COMMAND.  */
void command_send (config_t *config, command_t *command, const kwf_txn_t *txn,
                   kwf_effects_t *effects);
void command_read (config_t *config, command_t *command, const char *prefix,
                   kwf_effects_t *effects);

/* config-apply.c: the command "apply".

   apply_rows_updated checks whether new rows show the outcome of the
   write.  */
void apply_begin (config_t *config, const kwf_operator_event_t *event,
                  kwf_effects_t *effects);
void apply_send (config_t *config, command_t *command, kwf_effects_t *effects);
void apply_store_reply (config_t *config, command_t *command,
                        const kwf_store_reply_t *reply,
                        kwf_effects_t *effects);
void apply_rows_updated (config_t *config, command_t *command,
                         kwf_effects_t *effects);

/* config-keys.c: the commands "key add" and "key withdraw".

   withdraw_push sends WITHDRAW to all members, withdraw_peer_up to an instance
   whose link came up.  A member has confirmed if it was sent WITHDRAW over a
   link that was up.  withdraw_members returns the members that have and have
   not confirmed, as JSON for the operator.  */
void key_add_begin (config_t *config, const kwf_operator_event_t *event,
                    kwf_effects_t *effects);
void key_add_send (config_t *config, command_t *command,
                   kwf_effects_t *effects);
void key_add_store_reply (config_t *config, command_t *command,
                          const kwf_store_reply_t *reply,
                          kwf_effects_t *effects);
void withdraw_begin (config_t *config, const session_t *session,
                     const kwf_operator_event_t *event,
                     kwf_effects_t *effects);
void withdraw_send (config_t *config, command_t *command,
                    kwf_effects_t *effects);
void withdraw_store_reply (config_t *config, const session_t *session,
                           command_t *command, const kwf_store_reply_t *reply,
                           kwf_effects_t *effects);
void withdraw_push (config_t *config, const session_t *session,
                    command_t *command, kwf_effects_t *effects);
void withdraw_peer_up (config_t *config, command_t *command,
                       const char *instance, kwf_effects_t *effects);
bool withdraw_confirmed_by_all (const config_t *config,
                                const session_t *session,
                                const command_t *command);
json_t *withdraw_members (const config_t *config, const session_t *session,
                          const command_t *command);

/* config-reply.c: answers to operators.  BODY is consumed.  reply_command does
   nothing if COMMAND was already answered.  */
void reply_json (kwf_handle_t request, int status, json_t *body,
                 kwf_effects_t *effects);
json_t *reply_error (const char *code, const char *message);
void reply_command (command_t *command, int status, json_t *body,
                    kwf_effects_t *effects);
/* Add version, plans and uses of the list rows.  */
void reply_add_lists (const config_t *config, json_t *body);

#endif
