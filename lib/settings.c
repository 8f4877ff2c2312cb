/* Reads and checks the settings file.  */

#include <knapweedfork/settings.h>

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "finding.h"
#include "settings-table.h"
#include "text.h"

/* Shortest lease of the placement leader if servers do not check fencing
   tokens.  The leader proves its right three times in half of the lease; each
   proof needs 100 ms.  */
#define MIN_UNCHECKED_LEASE_MS 600
#define MAX_SHARE_WITHOUT_WINDOW 0.2

/* Longest session lease with protocol "table".  */
#define MAX_TABLE_LEASE_MS 2400

/* Tables cannot be kept fresh within a shorter time than the least
   fresh_ms.  */
#define MIN_EVACUATION_MS 500

#define SECRET_MIN_BYTES 16
#define SECRET_MAX_BYTES 4096

typedef struct
{
  kwf_settings_t *settings;
  finding_source_t *source;
  const char *directory; /* directory of the settings file */
} settings_reader_t;

static void *
field_at (kwf_settings_t *settings, const setting_t *setting)
{
  return (char *)settings + setting->offset;
}

/* Split "IP:PORT" or "[IPV6]:PORT"; false if TEXT is neither.  */
static bool
split_address (const char *text, char ip[INET6_ADDRSTRLEN], long *port)
{
  const char *colon = strrchr (text, ':');
  if (!colon || !g_ascii_isdigit (colon[1]))
    return false;
  char *end;
  *port = strtol (colon + 1, &end, 10);
  if (*end || *port > 65535 || end - colon > 6)
    return false;
  size_t size = (size_t)(colon - text);
  bool bracketed = size > 2 && text[0] == '[' && text[size - 1] == ']';
  if (bracketed)
    {
      text++;
      size -= 2;
    }
  if (size >= INET6_ADDRSTRLEN)
    return false;
  memcpy (ip, text, size);
  ip[size] = '\0';
  unsigned char binary[sizeof (struct in6_addr)];
  return inet_pton (bracketed ? AF_INET6 : AF_INET, ip, binary) == 1;
}

static bool
is_wildcard (const char *address)
{
  char ip[INET6_ADDRSTRLEN];
  long port;
  return split_address (address, ip, &port)
         && (strcmp (ip, "0.0.0.0") == 0 || strcmp (ip, "::") == 0);
}

static void
read_address (const finding_location_t *location, const setting_t *setting,
              char **out)
{
  const char *text = toml_string (location->table, setting->key);
  bool connect = setting->kind == SETTING_ADDRESS;
  char ip[INET6_ADDRSTRLEN];
  long port = 0;
  if (text && split_address (text, ip, &port) && (port > 0 || !connect)
      && !(connect && is_wildcard (text)))
    *out = g_strdup (text);
  else
    finding_report (location, setting->key, NULL,
                    finding_value (location, setting->key), "%s",
                    connect ? "\"IP:PORT\" that others can connect to, port "
                              "1 to 65535"
                            : "\"IP:PORT\", port 0 to 65535");
}

/* Path of the file that KEY names, relative to the settings file; free with
   g_free.  */
static char *
file_name (const settings_reader_t *reader, const finding_location_t *location,
           const char *key)
{
  const char *name = toml_string (location->table, key);
  if (!name || !*name)
    {
      finding_report (location, key, NULL, finding_value (location, key),
                      "name of a file");
      return NULL;
    }
  return g_path_is_absolute (name)
             ? g_strdup (name)
             : g_build_filename (reader->directory, name, NULL);
}

static void
read_secret (const settings_reader_t *reader,
             const finding_location_t *location, const char *key, char **out)
{
  char *name = file_name (reader, location, key);
  if (!name)
    return;
  char *contents = NULL;
  gsize size = 0;
  GError *error = NULL;
  if (!g_file_get_contents (name, &contents, &size, &error))
    {
      finding_report (location, key, NULL, error->message, "a readable file");
      g_error_free (error);
    }
  else
    {
      bool text = strlen (contents) == size;
      g_strchomp (contents);
      /* The finding never shows the contents, since they may be the secret. */
      if (!text || strlen (contents) < SECRET_MIN_BYTES
          || size > SECRET_MAX_BYTES)
        finding_report (location, key, NULL, name,
                        "a file with 16 to 4096 bytes of text");
      else
        *out = g_strdup (contents);
    }
  g_free (contents);
  g_free (name);
}

static void
read_path (const settings_reader_t *reader, const finding_location_t *location,
           const char *key, char **out)
{
  char *name = file_name (reader, location, key);
  if (name && access (name, R_OK) != 0)
    {
      finding_report (location, key, NULL, name, "a readable file");
      g_free (name);
      name = NULL;
    }
  *out = name;
}

static void
read_choice (const finding_location_t *location, const setting_t *setting,
             char **out)
{
  size_t n = 0;
  size_t chosen;
  while (setting->choices[n])
    n++;
  if (finding_read_choice (location, setting->key, setting->choices, n,
                           &chosen))
    *out = g_strdup (setting->choices[chosen]);
}

static void
set_default (const setting_t *setting, void *field)
{
  if (setting->kind == SETTING_INTEGER)
    *(int64_t *)field = (int64_t)setting->default_number;
  else if (setting->kind == SETTING_REAL)
    *(double *)field = setting->default_number;
  else
    *(char **)field = g_strdup (setting->default_text);
}

static void
read_value (const settings_reader_t *reader,
            const finding_location_t *location, const setting_t *setting,
            void *field)
{
  const char *name;
  switch (setting->kind)
    {
    case SETTING_NAME:
      if (finding_read_name (location, setting->key, true, &name))
        *(char **)field = g_strdup (name);
      break;
    case SETTING_LISTEN:
    case SETTING_ADDRESS:
      read_address (location, setting, field);
      break;
    case SETTING_SECRET:
      read_secret (reader, location, setting->key, field);
      break;
    case SETTING_PATH:
      read_path (reader, location, setting->key, field);
      break;
    case SETTING_CHOICE:
      read_choice (location, setting, field);
      break;
    case SETTING_INTEGER:
      finding_read_integer (location, setting->key, false,
                            (int64_t)setting->min, (int64_t)setting->max,
                            field);
      break;
    case SETTING_REAL:
      finding_read_real (location, setting->key, false, setting->min,
                         setting->max, field);
      break;
    }
}

static finding_location_t
location_of (const settings_reader_t *reader, const char *table)
{
  const toml_table_t *root = toml_root (reader->source->document);
  return (finding_location_t){ .source = reader->source,
                               .table = toml_type (root, table) == TOML_TABLE
                                            ? toml_table_at (root, table, 0)
                                            : NULL,
                               .header = table };
}

static void
read_setting (const settings_reader_t *reader, const setting_t *setting)
{
  void *field = field_at (reader->settings, setting);
  finding_location_t location = location_of (reader, setting->table);
  bool present = location.table
                 && toml_type (location.table, setting->key) != TOML_ABSENT;
  if (present && setting->kind != SETTING_INTEGER
      && setting->kind != SETTING_REAL)
    read_value (reader, &location, setting, field);
  else
    {
      set_default (setting, field);
      if (present)
        read_value (reader, &location, setting, field);
      else if (setting->always_required)
        finding_report (&location, setting->key, NULL, "nothing",
                        "a value (required)");
    }
}

/* Report unknown tables, and unknown keys of known tables.  */
static void
check_tables_and_keys (const settings_reader_t *reader)
{
  GPtrArray *tables = g_ptr_array_new ();
  for (size_t i = 0; i < n_settings; i++)
    {
      const char *table = settings_table[i].table;
      if (g_ptr_array_find_with_equal_func (tables, table, g_str_equal, NULL))
        continue;
      g_ptr_array_add (tables, (char *)table);
      GPtrArray *keys = g_ptr_array_new ();
      for (size_t j = i; j < n_settings; j++)
        if (strcmp (settings_table[j].table, table) == 0)
          g_ptr_array_add (keys, (char *)settings_table[j].key);
      finding_location_t location = location_of (reader, table);
      if (location.table)
        finding_unknown_keys (&location, (const char *const *)keys->pdata,
                              keys->len);
      g_ptr_array_free (keys, TRUE);
    }
  g_ptr_array_add (tables, SETTINGS_REGIONS);
  finding_location_t root = { .source = reader->source,
                              .table = toml_root (reader->source->document) };
  finding_unknown_keys (&root, (const char *const *)tables->pdata,
                        tables->len);
  for (size_t i = 0; i < tables->len; i++)
    {
      const char *table = g_ptr_array_index (tables, i);
      toml_type_t type = toml_type (root.table, table);
      if (type != TOML_TABLE && type != TOML_ABSENT)
        finding_report (&root, table, NULL, finding_value (&root, table),
                        "a table [%s]", table);
    }
  g_ptr_array_free (tables, TRUE);
}

/* Set *ADDRESS, the address that others connect to, to the listening address
   if it has no value.  A wildcard as listening address is reported
   instead.  */
static void
set_default_address (const settings_reader_t *reader, const char *table,
                     const char *listen, char **address)
{
  if (*address || !listen)
    return;
  finding_location_t location = location_of (reader, table);
  if (is_wildcard (listen))
    finding_report (&location, "address", NULL, "nothing",
                    "\"IP:PORT\" (required, because \"listen\" names no "
                    "single IP)");
  else
    *address = g_strdup (listen);
}

static void
check_tls (const settings_reader_t *reader, const char *table,
           const char *certificate, const char *private_key)
{
  finding_location_t location = location_of (reader, table);
  if (!certificate != !private_key)
    finding_report (&location, private_key ? "tls_certificate" : "tls_key",
                    NULL, "only one of the two",
                    "both \"tls_certificate\" and \"tls_key\", or neither");
}

static void
check_present (const settings_reader_t *reader, const char *table,
               const char *key, const char *value)
{
  finding_location_t location = location_of (reader, table);
  if (!value
      && (!location.table || toml_type (location.table, key) == TOML_ABSENT))
    finding_report (&location, key, NULL, "nothing", "a value (required)");
}

/* With protocol "rows" the platform has the fleet secret, the keys come with
   the configuration, and operators change nothing through an instance.  */
static void
check_protocol (const settings_reader_t *reader)
{
  const kwf_settings_t *s = reader->settings;
  finding_location_t session = location_of (reader, "session");
  if (s->protocol && strcmp (s->protocol, "rows") == 0)
    return;
  check_present (reader, "operator", "token_file", s->operator_token);
  check_present (reader, "peers", "secret_file", s->fleet_secret);
  check_present (reader, "keys", "pepper_file", s->key_pepper);
  /* A withdrawn key must be refused within 3 s (docs/design.md section 4), and
     with this protocol instances learn of a withdrawal with their
     renewals.  */
  if (s->lease_ms > MAX_TABLE_LEASE_MS)
    finding_report (&session, "lease_ms", NULL,
                    finding_value (&session, "lease_ms"), "%d to %d ms", 300,
                    MAX_TABLE_LEASE_MS);
}

/* The placement leader proves its right to act three times in half of its
   lease.  */
static void
check_placement_lease (const settings_reader_t *reader)
{
  const kwf_settings_t *s = reader->settings;
  finding_location_t placement = location_of (reader, "placement");
  if (g_strcmp0 (s->placement_tokens, "unchecked") == 0
      && s->placement_lease_ms < MIN_UNCHECKED_LEASE_MS)
    finding_report (
        &placement, "lease_ms", NULL, finding_value (&placement, "lease_ms"),
        "%d to 600000 ms with tokens = \"unchecked\"", MIN_UNCHECKED_LEASE_MS);
}

/* Without a window, all attempts together must stay below 1.2 times the
   requests.  */
static void
check_retry_share (const settings_reader_t *reader)
{
  const kwf_settings_t *s = reader->settings;
  finding_location_t backend = location_of (reader, "backend");
  if (s->retry_share > MAX_SHARE_WITHOUT_WINDOW && !(s->retry_window_s > 0))
    finding_report (
        &backend, "retry_share", NULL, finding_value (&backend, "retry_share"),
        "0 to %g without retry_window_s", MAX_SHARE_WITHOUT_WINDOW);
}

static void
check_evacuation (const settings_reader_t *reader)
{
  int64_t evacuation_ms = reader->settings->evacuation_ms;
  finding_location_t platform = location_of (reader, "platform");
  if (evacuation_ms && evacuation_ms < MIN_EVACUATION_MS)
    finding_report (&platform, "evacuation_ms", NULL,
                    finding_value (&platform, "evacuation_ms"),
                    "0 (off), or %d to 600000 ms", MIN_EVACUATION_MS);
}

/* Rules that involve several settings.  */
static void
check_combinations (const settings_reader_t *reader)
{
  kwf_settings_t *s = reader->settings;
  finding_location_t session = location_of (reader, "session");
  check_protocol (reader);
  check_tls (reader, "callers", s->tls_certificate, s->tls_key);
  check_tls (reader, "operator", s->operator_certificate, s->operator_key);
  /* One lost renewal must not end the lease.  */
  if (s->renew_ms * 2 > s->lease_ms)
    finding_report (&session, "renew_ms", NULL, "more than half of lease_ms",
                    "at most half of lease_ms, %lld",
                    (long long)(s->lease_ms / 2));
  check_placement_lease (reader);
  check_evacuation (reader);
  check_retry_share (reader);
}

/* Parse and check TEXT, the contents of the settings file PATH.  NULL if there
   are findings.  */
static kwf_settings_t *
parse_settings (const char *text, const char *path, const char *directory,
                kwf_finding_fn_t fn, void *data)
{
  finding_source_t source;
  if (!finding_source_open (&source, text, path, fn, data))
    return NULL;
  kwf_settings_t *settings = g_new0 (kwf_settings_t, 1);
  settings_reader_t reader
      = { .settings = settings, .source = &source, .directory = directory };
  check_tables_and_keys (&reader);
  for (size_t i = 0; i < n_settings; i++)
    read_setting (&reader, &settings_table[i]);
  settings_read_regions (&source, settings);
  set_default_address (&reader, "callers", settings->caller_listen,
                       &settings->caller_address);
  set_default_address (&reader, "peers", settings->peer_listen,
                       &settings->peer_address);
  settings->fresh_ms = MIN (settings->fresh_ms, settings->lists_ms);
  if (settings->evacuation_ms)
    settings->fresh_ms = MIN (settings->fresh_ms, settings->evacuation_ms);
  check_combinations (&reader);
  finding_source_free_document (&source);
  if (!source.n_findings)
    return settings;
  kwf_settings_free (settings);
  return NULL;
}

kwf_settings_t *
kwf_settings_read (const char *path, kwf_finding_fn_t fn, void *data)
{
  char *text = NULL;
  gsize size;
  GError *error = NULL;
  if (!g_file_get_contents (path, &text, &size, &error))
    {
      kwf_finding_t finding = { .line = 0 };
      g_strlcpy (finding.file, path, sizeof finding.file);
      g_strlcpy (finding.found, error->message, sizeof finding.found);
      g_strlcpy (finding.allowed, "a readable file", sizeof finding.allowed);
      if (fn)
        fn (&finding, data);
      g_error_free (error);
      return NULL;
    }
  char *directory = g_path_get_dirname (path);
  kwf_settings_t *settings = parse_settings (text, path, directory, fn, data);
  g_free (directory);
  g_free (text);
  return settings;
}

void
kwf_settings_free (kwf_settings_t *settings)
{
  if (!settings)
    return;
  settings_free_regions (settings);
  for (size_t i = 0; i < n_settings; i++)
    {
      const setting_t *setting = &settings_table[i];
      if (setting->kind != SETTING_INTEGER && setting->kind != SETTING_REAL)
        g_free (*(char **)field_at (settings, setting));
    }
  g_free (settings);
}
