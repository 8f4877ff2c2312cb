#include "settings-table.h"

#include <knapweedfork/settings.h>

#define AT(field) .offset = offsetof (kwf_settings_t, field)

static const char *const formats[] = { "text", "json", NULL };
static const char *const modes[] = { "dynamic", "static", NULL };
static const char *const weights[] = { "worst_served", "attainment", NULL };
static const char *const levels[]
    = { "debug", "info", "warning", "error", NULL };

/* A key must be refused within 3 s of its withdrawal, so a lease may not be
   longer than the 2.4 s of docs/design.md section 4; a backend server that
   leaves must be noticed within 3 s, so probes are at most 1 s apart; all
   attempts together must stay below 1.2 times the requests, so the retry
   share is at most 0.2.  */
const setting_t settings_table[] = {
  { "instance", "id", SETTING_NAME, AT (instance), .required = true,
    .unit = "" },
  { "instance", "data_centre", SETTING_NAME, AT (data_centre),
    .required = true, .unit = "" },
  { "callers", "listen", SETTING_LISTEN, AT (caller_listen), .required = true,
    .unit = "" },
  { "callers", "address", SETTING_ADDRESS, AT (caller_address), .unit = "" },
  { "callers", "tls_certificate", SETTING_PATH, AT (tls_certificate),
    .unit = "" },
  { "callers", "tls_key", SETTING_PATH, AT (tls_key), .unit = "" },
  { "callers", "address_lifetime_ms", SETTING_INTEGER,
    AT (address_lifetime_ms), .unit = "ms", .default_number = 5000,
    .least = 1000, .most = 60000 },
  { "callers", "default_timeout_ms", SETTING_INTEGER, AT (default_timeout_ms),
    .unit = "ms", .default_number = 60000, .least = 100, .most = 3600000 },
  { "callers", "idle_ms", SETTING_INTEGER, AT (idle_ms), .unit = "ms",
    .default_number = 30000, .least = 1000, .most = 3600000 },
  { "callers", "max_header_bytes", SETTING_INTEGER, AT (max_header_bytes),
    .unit = "bytes", .default_number = 16384, .least = 1024, .most = 1048576 },
  { "callers", "max_body_bytes", SETTING_INTEGER, AT (max_body_bytes),
    .unit = "bytes", .default_number = 4194304, .least = 1024,
    .most = 67108864 },
  { "callers", "max_connections", SETTING_INTEGER, AT (max_connections),
    .unit = "", .default_number = 4096, .least = 1, .most = 65536 },
  { "callers", "max_pending_bytes", SETTING_INTEGER, AT (max_pending_bytes),
    .unit = "bytes", .default_number = 1048576, .least = 4096,
    .most = 67108864 },
  { "callers", "stop_limit_ms", SETTING_INTEGER, AT (stop_limit_ms),
    .unit = "ms", .default_number = 0, .least = 0, .most = 86400000 },
  { "operator", "listen", SETTING_LISTEN, AT (operator_listen),
    .required = true, .unit = "" },
  { "operator", "token_file", SETTING_SECRET, AT (operator_token),
    .required = true, .unit = "" },
  { "peers", "listen", SETTING_LISTEN, AT (peer_listen), .required = true,
    .unit = "" },
  { "peers", "address", SETTING_ADDRESS, AT (peer_address), .unit = "" },
  { "peers", "secret_file", SETTING_SECRET, AT (fleet_secret),
    .required = true, .unit = "" },
  { "platform", "address", SETTING_ADDRESS, AT (platform), .required = true,
    .unit = "" },
  { "keys", "pepper_file", SETTING_SECRET, AT (key_pepper), .required = true,
    .unit = "" },
  { "session", "lease_ms", SETTING_INTEGER, AT (lease_ms), .unit = "ms",
    .default_number = 2400, .least = 300, .most = 2400 },
  { "session", "renew_ms", SETTING_INTEGER, AT (renew_ms), .unit = "ms",
    .default_number = 800, .least = 50, .most = 1200 },
  { "backend", "probe_ms", SETTING_INTEGER, AT (probe_ms), .unit = "ms",
    .default_number = 500, .least = 50, .most = 1000 },
  { "backend", "connect_ms", SETTING_INTEGER, AT (connect_ms), .unit = "ms",
    .default_number = 1000, .least = 50, .most = 10000 },
  { "backend", "max_answer_bytes", SETTING_INTEGER, AT (max_answer_bytes),
    .unit = "bytes", .default_number = 8388608, .least = 1024,
    .most = 67108864 },
  { "backend", "retry_share", SETTING_REAL, AT (retry_share), .unit = "",
    .default_number = 0.1, .least = 0, .most = 0.2 },
  { "placement", "mode", SETTING_CHOICE, AT (placement_mode), .unit = "",
    .default_text = "dynamic", .names = modes },
  { "placement", "weight", SETTING_CHOICE, AT (placement_weight), .unit = "",
    .default_text = "worst_served", .names = weights },
  { "placement", "loads_per_s", SETTING_REAL, AT (loads_per_s),
    .unit = "loads/s", .default_number = 2, .least = 0.01, .most = 1000 },
  { "placement", "loads_at_once", SETTING_INTEGER, AT (loads_at_once),
    .unit = "", .default_number = 2, .least = 1, .most = 1000 },
  { "placement", "adapter_loads_at_once", SETTING_INTEGER, AT (adapter_loads),
    .unit = "", .default_number = 16, .least = 1, .most = 10000 },
  { "placement", "load_ms", SETTING_INTEGER, AT (load_ms), .unit = "ms",
    .default_number = 2000, .least = 1, .most = 600000 },
  { "placement", "copy_load", SETTING_INTEGER, AT (copy_load), .unit = "",
    .default_number = 16, .least = 1, .most = 100000 },
  { "log", "format", SETTING_CHOICE, AT (log_format), .unit = "",
    .default_text = "text", .names = formats },
  { "log", "level", SETTING_CHOICE, AT (log_level), .unit = "",
    .default_text = "info", .names = levels },
};

const size_t n_settings = sizeof settings_table / sizeof settings_table[0];
