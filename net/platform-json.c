#include "platform-json.h"

#include <string.h>

#include "address.h"

void
txn_constraints_init (txn_constraints_t *constraints, const kwf_txn_t *txn)
{
  constraints->after = txn->after;
  constraints->conditions = g_new0 (char *, txn->n_conditions + 1);
  for (size_t i = 0; i < txn->n_conditions; i++)
    constraints->conditions[i] = g_strdup (txn->conditions[i].key);
  constraints->prefixes = g_new0 (char *, txn->n_prefixes + 1);
  for (size_t i = 0; i < txn->n_prefixes; i++)
    constraints->prefixes[i] = g_strdup (txn->prefixes[i]);
}

void
txn_constraints_clear (txn_constraints_t *constraints)
{
  g_strfreev (constraints->conditions);
  g_strfreev (constraints->prefixes);
}

/* Appends VALUE to LIST.  VALUE may be NULL after a failure.  */
static bool
append (json_t *list, json_t *value)
{
  return value && json_array_append_new (list, value) == 0;
}

static bool
is_valid_key (const char *key)
{
  return key && *key;
}

static bool
append_put (json_t *puts, json_t *deletes, const kwf_put_t *put)
{
  if (!is_valid_key (put->key))
    return false;
  if (!put->value)
    return append (deletes, json_string (put->key));
  json_t *value = json_loads (put->value,
                              JSON_DECODE_ANY | JSON_REJECT_DUPLICATES, NULL);
  if (!value || json_is_null (value))
    {
      json_decref (value);
      return false;
    }
  return append (puts,
                 json_pack ("{s:s, s:o}", "key", put->key, "value", value));
}

static bool
append_all (const kwf_txn_t *txn, json_t *conditions, json_t *puts,
            json_t *deletes, json_t *prefixes)
{
  for (size_t i = 0; i < txn->n_conditions; i++)
    {
      const kwf_condition_t *condition = &txn->conditions[i];
      if (!is_valid_key (condition->key)
          || !append (conditions,
                      json_pack ("{s:s, s:I}", "key", condition->key,
                                 "version", (json_int_t)condition->version)))
        return false;
    }
  for (size_t i = 0; i < txn->n_puts; i++)
    if (!append_put (puts, deletes, &txn->puts[i]))
      return false;
  for (size_t i = 0; i < txn->n_prefixes; i++)
    if (!append (prefixes, json_string (txn->prefixes[i])))
      return false;
  return true;
}

char *
txn_encode (const kwf_txn_t *txn)
{
  json_t *conditions = json_array ();
  json_t *puts = json_array ();
  json_t *deletes = json_array ();
  json_t *prefixes = json_array ();
  bool valid = append_all (txn, conditions, puts, deletes, prefixes);
  json_t *json
      = json_pack ("{s:o, s:o, s:o, s:{s:o, s:I}}", "conditions", conditions,
                   "puts", puts, "deletes", deletes, "reads", "prefixes",
                   prefixes, "after", (json_int_t)txn->after);
  char *text = valid ? json_dumps (json, JSON_COMPACT) : NULL;
  json_decref (json);
  return text;
}

/* Reads one row; the text of its value is kept in VALUES.  */
static bool
read_row (const json_t *json, kwf_row_t *row, GPtrArray *values)
{
  const json_t *version = json_object_get (json, "version");
  const json_t *value = json_object_get (json, "value");
  row->key = json_string_value (json_object_get (json, "key"));
  if (!is_valid_key (row->key) || !json_is_integer (version) || !value)
    return false;
  row->version = json_integer_value (version);
  if (json_is_null (value))
    return true;
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  if (!text)
    return false;
  g_ptr_array_add (values, text);
  row->value = text;
  return true;
}

/* Reads an array of rows.  Their versions must be from LEAST to MOST, their
   keys distinct and accepted by FITS.  */
static bool
read_rows (const json_t *list, int64_t least, int64_t most,
           bool (*fits) (const char *key, char **allowed), char **allowed,
           GArray *rows, GPtrArray *values)
{
  if (!json_is_array (list))
    return false;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  bool valid = true;
  for (size_t i = 0; valid && i < json_array_size (list); i++)
    {
      kwf_row_t row = { 0 };
      valid = read_row (json_array_get (list, i), &row, values)
              && row.version >= least && row.version <= most
              && fits (row.key, allowed)
              && g_hash_table_add (seen, (gpointer)row.key);
      if (valid)
        g_array_append_val (rows, row);
    }
  g_hash_table_destroy (seen);
  return valid;
}

static bool
has_prefix (const char *key, char **prefixes)
{
  for (; *prefixes; prefixes++)
    if (g_str_has_prefix (key, *prefixes))
      return true;
  return false;
}

static bool
is_among (const char *key, char **keys)
{
  return g_strv_contains ((const char *const *)keys, key);
}

bool
txn_answer_read (txn_answer_t *answer, const txn_constraints_t *constraints,
                 int status, const char *body, size_t size)
{
  memset (answer, 0, sizeof *answer);
  answer->rows = g_array_new (FALSE, FALSE, sizeof (kwf_row_t));
  answer->conflicts = g_array_new (FALSE, FALSE, sizeof (kwf_row_t));
  answer->values = g_ptr_array_new_with_free_func (free);
  answer->json = json_loadb (body, size, JSON_REJECT_DUPLICATES, NULL);
  const json_t *committed = json_object_get (answer->json, "committed");
  const json_t *number = json_object_get (answer->json, "revision");
  if (!json_is_integer (number) || !json_is_boolean (committed)
      || (status != 200 && status != 409)
      || json_is_true (committed) != (status == 200))
    return false;
  /* A table whose revision went back is not trusted.  */
  int64_t revision = json_integer_value (number);
  if (revision < 0 || revision < constraints->after)
    return false;
  if (!read_rows (json_object_get (answer->json, "rows"),
                  constraints->after + 1, revision, has_prefix,
                  constraints->prefixes, answer->rows, answer->values))
    return false;
  if (status == 409
      && (!read_rows (json_object_get (answer->json, "conflicts"), 0, revision,
                      is_among, constraints->conditions, answer->conflicts,
                      answer->values)
          || answer->conflicts->len == 0))
    return false;
  answer->reply = (kwf_store_reply_t){
    .outcome = status == 200 ? KWF_STORE_COMMITTED : KWF_STORE_CONFLICT,
    .revision = revision,
    .rows = (const kwf_row_t *)(void *)answer->rows->data,
    .n_rows = answer->rows->len,
    .conflicts = (const kwf_row_t *)(void *)answer->conflicts->data,
    .n_conflicts = answer->conflicts->len,
  };
  return true;
}

void
txn_answer_clear (txn_answer_t *answer)
{
  g_array_free (answer->rows, TRUE);
  g_array_free (answer->conflicts, TRUE);
  g_ptr_array_free (answer->values, TRUE);
  json_decref (answer->json);
}

/* Sets *INDEX to the index of the string JSON in NAMES; false: it is not
   there.  */
static bool
read_choice (const json_t *json, const char *const *names, size_t n_names,
             size_t *index)
{
  const char *text = json_string_value (json);
  for (*index = 0; text && *index < n_names; ++*index)
    if (strcmp (text, names[*index]) == 0)
      return true;
  return false;
}

static bool
read_member (const json_t *json, kwf_member_t *member)
{
  static const char *const kinds[] = {
    [KWF_MEMBER_ENGINE] = "engine",
    [KWF_MEMBER_SERVICE] = "service",
    [KWF_MEMBER_ENTRY] = "entry",
  };
  static const char *const states[] = { "live", "leaving" };
  size_t kind;
  size_t state;
  address_t address;
  member->id = json_string_value (json_object_get (json, "id"));
  member->name = json_string_value (json_object_get (json, "name"));
  member->address = json_string_value (json_object_get (json, "address"));
  member->data_centre
      = json_string_value (json_object_get (json, "data_centre"));
  if (!is_valid_key (member->id) || !member->name || !member->data_centre
      || !address_read (member->address, &address)
      || address_port (&address) == 0
      || !read_choice (json_object_get (json, "kind"), kinds,
                       G_N_ELEMENTS (kinds), &kind)
      || !read_choice (json_object_get (json, "state"), states,
                       G_N_ELEMENTS (states), &state))
    return false;
  member->kind = (kwf_member_kind_t)kind;
  member->leaving = state == 1;
  return true;
}

bool
members_answer_read (members_answer_t *answer, const char *body, size_t size)
{
  memset (answer, 0, sizeof *answer);
  answer->members = g_array_new (FALSE, FALSE, sizeof (kwf_member_t));
  answer->json = json_loadb (body, size, JSON_REJECT_DUPLICATES, NULL);
  const json_t *list = json_object_get (answer->json, "members");
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  bool valid = json_is_array (list);
  for (size_t i = 0; valid && i < json_array_size (list); i++)
    {
      kwf_member_t member = { 0 };
      valid = read_member (json_array_get (list, i), &member)
              && g_hash_table_add (seen, (gpointer)member.id);
      if (valid)
        g_array_append_val (answer->members, member);
    }
  g_hash_table_destroy (seen);
  if (!valid)
    return false;
  answer->event = (kwf_members_event_t){
    .valid = true,
    .members = (const kwf_member_t *)(void *)answer->members->data,
    .n_members = answer->members->len,
  };
  return true;
}

void
members_answer_clear (members_answer_t *answer)
{
  g_array_free (answer->members, TRUE);
  json_decref (answer->json);
}
