/* settings.h - settings of knapweedforkd, read from a TOML file.  */

#ifndef KNAPWEEDFORK_SETTINGS_H
#define KNAPWEEDFORK_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/lists.h>

/* docs/CONFIG.md has unit, default and bounds of every field.  */
typedef struct
{
  char *instance;              /* [instance] id */
  char *data_centre;           /* [instance] data_centre */
  double cores;                /* [instance] cores */
  char *caller_listen;         /* [callers] listen, "IP:PORT" */
  char *caller_address;        /* [callers] address; default: listen */
  char *operator_listen;       /* [operator] listen */
  char *operator_token;        /* contents of [operator] token_file */
  char *reading_token;         /* contents of [operator] read_token_file, or
                                  NULL */
  char *operator_certificate;  /* path in [operator] tls_certificate, or
                                  NULL */
  char *operator_key;          /* path in [operator] tls_key, or NULL */
  char *peer_listen;           /* [peers] listen */
  char *peer_address;          /* [peers] address; default: listen */
  char *fleet_secret;          /* contents of [peers] secret_file */
  char *accepted_fleet_secret; /* contents of [peers] accepted_secret_file, or
                                  NULL */
  char *ready_listen;          /* [callers] ready_listen, or NULL */
  char *directory_listen;      /* [callers] directory_listen, or NULL */
  char *platform;              /* [platform] address */
  int64_t fresh_ms;            /* lowest of [platform] fresh_ms, lists_ms
                                  and, unless 0, evacuation_ms */
  int64_t lists_ms;            /* [platform] lists_ms */
  int64_t evacuation_ms;       /* [platform] evacuation_ms; 0: off */
  kwf_region_t *regions;       /* [regions] */
  size_t n_regions;
  char *protocol;              /* [platform] protocol: "table" or "rows" */
  char *key_pepper;            /* contents of [keys] pepper_file */
  char *admission;             /* [queue] admission: "window" or "predicted" */
  char *withdrawn;             /* [keys] withdrawn: "cut" or "finish" */
  char *tls_certificate;       /* path in [callers] tls_certificate, or NULL */
  char *tls_key;               /* path in [callers] tls_key, or NULL */
  char *log_format;            /* [log] format: "text" or "json" */
  char *log_level;             /* [log] level: "debug" to "error" */
  int64_t lease_ms;            /* [session] lease_ms */
  int64_t renew_ms;            /* [session] renew_ms */
  int64_t probe_ms;            /* [backend] probe_ms */
  int64_t connect_ms;          /* [backend] connect_ms */
  int64_t address_lifetime_ms; /* [callers] address_lifetime_ms */
  int64_t contact_ms;          /* [callers] contact_ms; 0: off */
  int64_t default_timeout_ms;  /* [callers] default_timeout_ms */
  int64_t idle_ms;             /* [callers] idle_ms */
  int64_t max_header_bytes;    /* [callers] max_header_bytes */
  int64_t max_body_bytes;      /* [callers] max_body_bytes */
  int64_t max_answer_bytes;    /* [backend] max_answer_bytes */
  int64_t memory_mb;           /* [instance] memory_mb; 0: not told */
  int64_t intake_mb;           /* [callers] intake_mb; 0: from memory_mb */
  int64_t min_bytes_per_s;     /* [callers] min_bytes_per_s */
  int64_t max_connections;     /* [callers] max_connections */
  int64_t max_pending_bytes;   /* [callers] max_pending_bytes */
  int64_t stop_limit_ms;       /* [callers] stop_limit_ms; 0: none */
  double grace_s;              /* [callers] grace_s; 0: none */
  double overdraft;            /* [limits] overdraft, tokens */
  double retry_share;          /* [backend] retry_share */
  double retry_window_s;       /* [backend] retry_window_s; 0: none */
  char *start_pace;            /* [backend] start_pace: "none" or "measured" */
  double retry_slack;          /* [backend] retry_slack, requests */
  char *reuse;                 /* [backend] reuse: "repeatable" or "all" */
  int64_t queue_length;        /* [queue] length */
  int64_t queue_organisation_length; /* [queue] organisation_length */
  int64_t first_token_ms[3];         /* [queue] CLASS_first_token_ms */
  double preempt_share;              /* [queue] preempt_share */
  char *placement_mode;          /* [placement] mode: "dynamic" or "static" */
  char *placement_weight;        /* "worst_served" or "attainment" */
  double loads_per_s;            /* [placement] loads_per_s */
  int64_t loads_at_once;         /* [placement] loads_at_once */
  int64_t adapter_loads_at_once; /* [placement] adapter_loads_at_once */
  int64_t placement_lease_ms;    /* [placement] lease_ms */
  char *placement_tokens; /* [placement] tokens: "checked" or "unchecked" */
  int64_t load_ms;        /* [placement] load_ms */
  int64_t max_requests_per_copy; /* [placement] max_requests_per_copy */
} kwf_settings_t;

/* Read the settings file PATH.  FN (may be NULL) is called with every error
   that is found.  Return NULL if there was one.  Relative file names in the
   settings are relative to the directory of PATH.  */
kwf_settings_t *kwf_settings_read (const char *path, kwf_finding_fn_t fn,
                                   void *data);
void kwf_settings_free (kwf_settings_t *settings);

#endif
