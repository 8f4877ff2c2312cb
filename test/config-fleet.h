/* config-fleet.h - two instances' configuration modules with a table in memory
   whose answers can be lost, for test_config*.c.

   All definitions are in this header because they replace lib/session.c.  In a
   common source file they would also be linked into the tests of the
   session.  */

#ifndef KNAPWEEDFORK_TEST_CONFIG_FLEET_H
#define KNAPWEEDFORK_TEST_CONFIG_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <jansson.h>

#include "lib/config.h"

/* Session.  The configuration needs from it the members, the revision and the
   flag for open writes.  */

struct session
{
  session_member_t members[4];
  size_t n_members;
  int64_t revision;
  session_state_t state;
  bool write_pending;
  int64_t kept_version; /* highest version of the rows in session_keep_rows */
};

bool
session_next_member (const session_t *session, size_t *at,
                     session_member_t *member)
{
  if (*at >= session->n_members)
    return false;
  *member = session->members[(*at)++];
  return true;
}

session_state_t
session_state (const session_t *session)
{
  return session->state;
}

int64_t
session_revision (const session_t *session)
{
  return session->revision;
}

void
session_set_write_pending (session_t *session, bool open)
{
  session->write_pending = open;
}

void
session_keep_rows (session_t *session, const kwf_row_t *rows, size_t n_rows)
{
  for (size_t i = 0; i < n_rows; i++)
    session->kept_version = MAX (session->kept_version, rows[i].version);
}

/* Table.  */

typedef struct
{
  int64_t version;
  char *value; /* NULL: deleted */
} stored_t;

static inline void
free_stored (void *data)
{
  stored_t *stored = data;
  g_free (stored->value);
  g_free (stored);
}

typedef struct
{
  GHashTable *rows; /* key to stored_t */
  int64_t revision;
} store_t;

static inline store_t
store_new (void)
{
  return (store_t){ .rows = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                   g_free, free_stored) };
}

static inline const stored_t *
store_get (const store_t *store, const char *key)
{
  return g_hash_table_lookup (store->rows, key);
}

static inline void
store_put (store_t *store, const char *key, const char *value)
{
  stored_t *stored = g_new0 (stored_t, 1);
  stored->version = store->revision;
  stored->value = g_strdup (value);
  g_hash_table_replace (store->rows, g_strdup (key), stored);
}

/* Rows under PREFIX that changed after revision AFTER; they point into
   STORE.  */
static inline GArray *
store_read (const store_t *store, const char *prefix, int64_t after)
{
  GArray *rows = g_array_new (FALSE, TRUE, sizeof (kwf_row_t));
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, store->rows);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const stored_t *stored = value;
      kwf_row_t row
          = { .key = key, .version = stored->version, .value = stored->value };
      if (g_str_has_prefix (key, prefix) && stored->version > after)
        g_array_append_val (rows, row);
    }
  return rows;
}

/* Instance.  */

typedef struct
{
  kwf_clock_t base;
  int64_t now_ns;
} fake_clock_t;

static inline struct timespec
fake_time (const kwf_clock_t *clock)
{
  int64_t now = ((const fake_clock_t *)clock)->now_ns;
  return (struct timespec){ .tv_sec = now / KWF_NS_PER_S,
                            .tv_nsec = now % KWF_NS_PER_S };
}

static const kwf_clock_ops_t clock_ops
    = { .monotonic = fake_time, .wall = fake_time };

/* What happens to each transaction from now on.  NO_FAULT: the table
   works.  */
typedef enum
{
  NO_FAULT,             /* applied and answered */
  LOST_BEFORE_APPLYING, /* not applied; the outcome is unknown */
  LOST_AFTER_APPLYING,  /* applied; the outcome is unknown */
  FAIL,                 /* certainly not applied */
  HOLD                  /* not applied and not answered; the test answers with
                           deliver_reply */
} fault_t;

typedef struct
{
  config_t *config;
  session_t session;
  store_t *store;
  fake_clock_t *clock;
  kwf_effects_t *effects;
  fault_t fault;
  int status;       /* of the last answer to an operator; 0: none yet */
  json_t *body;     /* of that answer */
  GString *sent;    /* WITHDRAW messages, each a line "INSTANCE lifted=B" */
  GArray *held_ops; /* handles of the transactions that were held */
  size_t n_txns;
} instance_t;

static inline void run_effects (instance_t *instance);

static inline void
step (instance_t *instance, const kwf_event_t *event,
      const session_changes_t *changes)
{
  config_step (instance->config, &instance->session, event, changes,
               instance->effects);
  run_effects (instance);
}

static inline void
deliver_reply (instance_t *instance, kwf_handle_t op,
               const kwf_store_reply_t *reply)
{
  kwf_event_t event
      = { .type = KWF_EV_STORE_REPLY, .store = { .op = op, .reply = *reply } };
  step (instance, &event, NULL);
}

/* Apply TXN to the table; return whether it was committed.  */
static inline bool
apply_txn (store_t *store, const kwf_txn_t *txn, GArray *conflicts)
{
  for (size_t i = 0; i < txn->n_conditions; i++)
    {
      const char *key = txn->conditions[i].key;
      const stored_t *stored = store_get (store, key);
      bool present = stored && stored->value;
      kwf_row_t row = { .key = key,
                        .version = present ? stored->version : 0,
                        .value = present ? stored->value : NULL };
      if (row.version != txn->conditions[i].version)
        g_array_append_val (conflicts, row);
    }
  if (conflicts->len)
    return false;
  if (txn->n_puts)
    store->revision++;
  for (size_t i = 0; i < txn->n_puts; i++)
    store_put (store, txn->puts[i].key, txn->puts[i].value);
  return true;
}

static inline void
run_store (instance_t *instance, kwf_handle_t op, const kwf_txn_t *txn)
{
  instance->n_txns++;
  fault_t fault = instance->fault;
  if (fault == HOLD)
    {
      g_array_append_val (instance->held_ops, op);
      return;
    }
  kwf_store_reply_t reply = { .outcome = KWF_STORE_UNKNOWN };
  GArray *conflicts = g_array_new (FALSE, TRUE, sizeof (kwf_row_t));
  GArray *rows = NULL;
  if (fault == FAIL)
    reply.outcome = KWF_STORE_FAILED;
  else if (fault != LOST_BEFORE_APPLYING)
    {
      bool committed = apply_txn (instance->store, txn, conflicts);
      if (txn->n_prefixes)
        rows = store_read (instance->store, txn->prefixes[0], txn->after);
      if (fault == NO_FAULT)
        reply = (kwf_store_reply_t){
          .outcome = committed ? KWF_STORE_COMMITTED : KWF_STORE_CONFLICT,
          .revision = instance->store->revision,
          .rows = rows ? (const kwf_row_t *)(void *)rows->data : NULL,
          .n_rows = rows ? rows->len : 0,
          .conflicts = (const kwf_row_t *)(void *)conflicts->data,
          .n_conflicts = conflicts->len,
        };
    }
  deliver_reply (instance, op, &reply);
  g_array_free (conflicts, TRUE);
  if (rows)
    g_array_free (rows, TRUE);
}

static inline void
record_operator_reply (instance_t *instance, const kwf_operator_reply_t *reply)
{
  /* No command may be answered twice.  */
  assert_int_equal (instance->status, 0);
  instance->status = reply->status;
  json_decref (instance->body);
  instance->body = json_loads (reply->body, 0, NULL);
  assert_non_null (instance->body);
}

static inline void
run_effects (instance_t *instance)
{
  kwf_effects_t *effects = instance->effects;
  instance->effects = kwf_effects_new ();
  for (size_t i = 0; i < kwf_effects_count (effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (effects, i);
      if (effect->type == KWF_FX_STORE)
        run_store (instance, effect->store.op, &effect->store.txn);
      else if (effect->type == KWF_FX_OPERATOR_REPLY)
        record_operator_reply (instance, &effect->operator_reply);
      else if (effect->type == KWF_FX_PEER_SEND)
        g_string_append_printf (instance->sent, "%s lifted=%d\n",
                                effect->send.instance,
                                effect->send.message.withdraw.lifted);
    }
  kwf_effects_free (effects);
}

static inline void
instance_start (instance_t *instance, store_t *store, fake_clock_t *clock,
                const char *name)
{
  kwf_core_options_t options = { .instance = name,
                                 .clock = &clock->base,
                                 .random = kwf_random_system () };
  *instance = (instance_t){
    .config = config_new (&options),
    .store = store,
    .clock = clock,
    .effects = kwf_effects_new (),
    .sent = g_string_new (NULL),
    .held_ops = g_array_new (FALSE, FALSE, sizeof (kwf_handle_t)),
  };
  instance->session.revision = 1;
  instance->session.state = SESSION_VALID;
  instance->session.members[instance->session.n_members++]
      = (session_member_t){ .instance = name, .linked = false };
}

static inline void
instance_stop (instance_t *instance)
{
  config_free (instance->config);
  kwf_effects_free (instance->effects);
  json_decref (instance->body);
  g_string_free (instance->sent, TRUE);
  g_array_free (instance->held_ops, TRUE);
}

static inline void
add_member (instance_t *instance, const char *name, bool linked)
{
  instance->session.members[instance->session.n_members++]
      = (session_member_t){ .instance = name, .linked = linked };
}

/* The session is renewed: all rows of the table are read.  */
static inline void
renew (instance_t *instance)
{
  GArray *rows = store_read (instance->store, "", 0);
  session_changes_t changes = { .fresh = true,
                                .revision = instance->store->revision,
                                .rows = (const kwf_row_t *)(void *)rows->data,
                                .n_rows = rows->len };
  kwf_event_t event = { .type = KWF_EV_TICK };
  step (instance, &event, &changes);
  g_array_free (rows, TRUE);
}

static inline void
advance_ms (instance_t *instance, int64_t ms)
{
  kwf_event_t event = { .type = KWF_EV_TICK };
  int64_t end = instance->clock->now_ns + ms * KWF_NS_PER_MS;
  while (instance->clock->now_ns < end)
    {
      instance->clock->now_ns
          = MIN (end, instance->clock->now_ns + 50 * KWF_NS_PER_MS);
      step (instance, &event, NULL);
    }
}

static inline void
command (instance_t *instance, const kwf_operator_event_t *operator_)
{
  instance->status = 0;
  kwf_event_t event = { .type = KWF_EV_OPERATOR, .operator_ = *operator_ };
  event.operator_.handle = 1;
  step (instance, &event, NULL);
}

#define USES                                                                  \
  "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1\n"                 \
  "[[plan]]\nname = \"p\"\nrate = 10\nburst = 10\nmodels = [\"m\"]\n"
#define PLANS "[[organisation]]\nname = \"north\"\nplan = \"p\"\n"
#define PLANS_2 PLANS "[[organisation]]\nname = \"south\"\nplan = \"p\"\n"
#define PLANS_3 PLANS "[[organisation]]\nname = \"west\"\nplan = \"p\"\n"

static inline void
apply (instance_t *instance, const char *plans, int64_t version)
{
  command (instance, &(kwf_operator_event_t){ .command = KWF_OPERATOR_APPLY,
                                              .plans = plans,
                                              .uses = USES,
                                              .version = version });
}

static inline int64_t
body_integer (const instance_t *instance, const char *name)
{
  return json_integer_value (json_object_get (instance->body, name));
}

static inline const char *
body_text (const instance_t *instance, const char *name)
{
  const char *text
      = json_string_value (json_object_get (instance->body, name));
  return text ? text : "";
}

static inline const char *
error_code (const instance_t *instance)
{
  const json_t *error = json_object_get (instance->body, "error");
  const char *code = json_string_value (json_object_get (error, "code"));
  return code ? code : "";
}

static inline size_t
members_in (const instance_t *instance, const char *name)
{
  return json_array_size (json_object_get (instance->body, name));
}

typedef struct
{
  store_t store;
  fake_clock_t clock;
  instance_t a;
  instance_t b;
} fleet_t;

/* Two instances with lists in force.  */
static inline int
set_up (void **state)
{
  fleet_t *fleet = g_new0 (fleet_t, 1);
  fleet->store = store_new ();
  fleet->clock.base.ops = &clock_ops;
  fleet->clock.now_ns = KWF_NS_PER_S;
  instance_start (&fleet->a, &fleet->store, &fleet->clock, "a");
  instance_start (&fleet->b, &fleet->store, &fleet->clock, "b");
  add_member (&fleet->a, "b", true);
  add_member (&fleet->b, "a", true);
  apply (&fleet->a, PLANS, 0);
  assert_int_equal (fleet->a.status, 200);
  renew (&fleet->b);
  assert_int_equal (config_version (fleet->b.config), 1);
  *state = fleet;
  return 0;
}

static inline int
tear_down (void **state)
{
  fleet_t *fleet = *state;
  instance_stop (&fleet->a);
  instance_stop (&fleet->b);
  g_hash_table_destroy (fleet->store.rows);
  g_free (fleet);
  return 0;
}

static inline bool
has_organisation (const instance_t *instance, const char *name)
{
  return kwf_lists_organisation (config_lists (instance->config), name)
         != NULL;
}

static inline void
deliver_rows (instance_t *instance, const kwf_row_t *rows, size_t n_rows)
{
  session_changes_t changes
      = { .fresh = true, .rows = rows, .n_rows = n_rows };
  kwf_event_t event = { .type = KWF_EV_TICK };
  step (instance, &event, &changes);
}

#define KEY_1                                                                 \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define KEY_2                                                                 \
  "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210"
#define KEY_3                                                                 \
  "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
#define ROW_OF(organisation, withdrawn)                                       \
  "{\"organisation\":\"" organisation "\",\"withdrawn\":" withdrawn           \
  ",\"added_ms\":5}"

static inline void
key_add (instance_t *instance, const char *organisation, const char *digest)
{
  command (instance, &(kwf_operator_event_t){ .command = KWF_OPERATOR_KEY_ADD,
                                              .organisation = organisation,
                                              .digest = digest });
}

static inline void
key_withdraw (instance_t *instance, const char *digest)
{
  command (instance,
           &(kwf_operator_event_t){ .command = KWF_OPERATOR_KEY_WITHDRAW,
                                    .digest = digest });
}

#define CASE(name) cmocka_unit_test_setup_teardown (name, set_up, tear_down)

#endif
