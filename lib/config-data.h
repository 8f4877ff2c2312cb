/* config-data.h - the inside of config_t, for the files config*.c.  */

#ifndef KNAPWEEDFORK_LIB_CONFIG_DATA_H
#define KNAPWEEDFORK_LIB_CONFIG_DATA_H

#include <glib.h>
#include <jansson.h>

#include "config.h"
#include "key.h"

/* Time limit of a table transaction and of a command.  */
#define CONFIG_STORE_NS (2 * KWF_NS_PER_S)
#define CONFIG_COMMAND_NS (8 * KWF_NS_PER_S)
/* Pause before a transaction without an answer is sent again; the second
   value is for withdrawals that go on after the operator was answered.  */
#define CONFIG_RETRY_NS (200 * KWF_NS_PER_MS)
#define CONFIG_SLOW_RETRY_NS KWF_NS_PER_S
/* A write is assumed to be applied within this time or never.  */
#define CONFIG_IN_FLIGHT_NS (60 * KWF_NS_PER_S)
/* An open withdrawal is pushed again well before the peers' suspension
   ends.  */
#define CONFIG_PUSH_NS (20 * KWF_NS_PER_S)
#define CONFIG_MAX_COMMANDS 64
#define CONFIG_MAX_SUSPENDED 10000
/* Apply ids of predecessors that a list row keeps, so that an instance
   whose answer was lost can tell whether its write took effect although
   another one followed.  */
#define CONFIG_MAX_EARLIER 8

#define CONFIG_PLANS_KEY "list/plans"
#define CONFIG_USES_KEY "list/uses"
#define CONFIG_KEY_PREFIX "key/"

typedef struct
{
  int64_t row_revision; /* revision of the last change; nothing older counts */
  int64_t version;      /* for conditions; 0: absent */
  char *text;           /* NULL: absent or malformed */
  GPtrArray *apply_ids; /* apply ids, the newest first */
} list_row_t;

typedef struct
{
  int64_t row_revision;
  int64_t version; /* 0: absent */
  char *organisation;
  bool withdrawn;
  int64_t added_ms;
} key_row_t;

typedef struct
{
  char *instance; /* that pushed the withdrawal */
  int64_t until_ns;
} suspension_t;

typedef struct
{
  kwf_operator_command_t kind;
  kwf_handle_t request;
  bool replied;
  bool in_doubt;       /* a write was sent and its answer is missing */
  bool write_sent;     /* a write was sent at all */
  bool op_is_read;     /* the open transaction is a read */
  kwf_handle_t op;     /* open transaction; 0: none */
  int64_t deadline_ns; /* the operator is answered at the latest */
  int64_t retry_ns;    /* next transaction when none is open */
  int64_t forget_ns;   /* the write certainly does not happen any more */
  /* apply */
  char *plans;
  char *uses;
  char *apply_id;
  char *replaced_id; /* apply id that the write replaces; "": none */
  char *plans_value; /* the write, the same each time it is sent */
  char *uses_value;
  int64_t plans_version;
  int64_t uses_version;
  int64_t base_version; /* version that was edited */
  /* keys */
  char *digest;
  char *organisation;
  int64_t added_ms;
  int64_t tried_version; /* of the row that the last write replaces */
  int64_t push_ns;       /* next push */
  GHashTable *confirmed; /* instances that the push reached */
} command_t;

struct config
{
  const kwf_clock_t *clock;
  kwf_random_t *random;
  char *instance;
  list_row_t plans;
  list_row_t uses;
  kwf_lists_t *lists;
  int64_t version; /* of the lists in force */
  uint64_t generation;
  bool from_snapshot;    /* lists and keys come as events, not as rows */
  GHashTable *keys;      /* digest to key_row_t */
  GHashTable *suspended; /* digest to GArray of suspension_t */
  GPtrArray *commands;   /* of command_t */
  GArray *session_rows;  /* of kwf_row_t: by commands, in this step */
};

/* config-rows.c: rows.  Take a row if it is newer; true when it was.  */
void list_row_clear (list_row_t *row);
void key_row_free (void *row);
bool config_update_row (config_t *config, const kwf_row_t *row,
                        kwf_effects_t *effects);
/* Put newly taken list rows in force.  */
void config_update_lists (config_t *config, kwf_effects_t *effects);
void config_update_rows (config_t *config, const kwf_row_t *rows,
                         size_t n_rows, kwf_effects_t *effects);
/* Take rows that a command read or wrote, and give them to the session at
   the end of the step.  */
void config_add_command_rows (config_t *config, const kwf_row_t *rows,
                              size_t n_rows, kwf_effects_t *effects);
const key_row_t *config_key_row (const config_t *config, const char *digest);
/* Version of the rows, in force or not.  */
int64_t config_stored_version (const config_t *config);
char *list_row_value (const char *text, const char *apply_id,
                      const list_row_t *replaced);
char *key_row_value (const char *organisation, bool withdrawn,
                     int64_t added_ms);

/* config-given.c: lists and keys that were read elsewhere.  */
void config_take_snapshot (config_t *config, const kwf_config_event_t *event,
                           kwf_effects_t *effects);

/* config-suspend.c: keys that are refused until an outcome is known.  */
void config_suspend (config_t *config, const char *digest,
                     const char *instance, int64_t until_ns);
void config_lift_suspension (config_t *config, const char *digest,
                             const char *instance);
void config_expire_suspensions (config_t *config, kwf_effects_t *effects);
bool config_is_digest (const char *text);

/* config-command.c: commands of operators.  */
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
int64_t commands_deadline_ns (const config_t *config);
command_t *command_new (config_t *config, const kwf_operator_event_t *event);
void command_end (config_t *config, command_t *command);
void command_retry_later (config_t *config, command_t *command);
/* Send TXN (its parts belong to EFFECTS) for COMMAND.  */
void command_send (config_t *config, command_t *command, const kwf_txn_t *txn,
                   kwf_effects_t *effects);
void command_read (config_t *config, command_t *command, const char *prefix,
                   kwf_effects_t *effects);

/* config-apply.c */
void apply_begin (config_t *config, const kwf_operator_event_t *event,
                  kwf_effects_t *effects);
void apply_send (config_t *config, command_t *command, kwf_effects_t *effects);
void apply_store_reply (config_t *config, command_t *command,
                        const kwf_store_reply_t *reply,
                        kwf_effects_t *effects);
void apply_rows_updated (config_t *config, command_t *command,
                         kwf_effects_t *effects);

/* config-keys.c */
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

/* config-reply.c: answers.  BODY is consumed.  */
void reply_json (kwf_handle_t request, int status, json_t *body,
                 kwf_effects_t *effects);
json_t *reply_error (const char *code, const char *message);
void reply_command (command_t *command, int status, json_t *body,
                    kwf_effects_t *effects);
/* The lists as the rows hold them: version, plans, uses.  */
void reply_add_lists (const config_t *config, json_t *body);

#endif
