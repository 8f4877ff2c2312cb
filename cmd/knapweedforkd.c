/* knapweedforkd - the daemon of an entry instance.  See knapweedforkd(8).  */

#include <argp.h>
#include <curl/curl.h>
#include <ev.h>
#include <malloc.h>
#include <signal.h>
#include <sodium.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <knapweedfork/settings.h>

#include "../lib/logging.h"
#include "../net/protocol.h"
#include "../net/instance.h"
#include "../platform/platform.h"

enum
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2
};

const char *argp_program_version = "knapweedforkd " KWF_VERSION;

typedef struct
{
  const char *config;
  bool check;
} options_t;

/* The types are those of argp_parser_t.  */
static error_t
/* NOLINTNEXTLINE(readability-non-const-parameter) */
parse_option (int key, char *arg, struct argp_state *state)
{
  options_t *options = state->input;
  switch (key)
    {
    case 'c':
      options->config = arg;
      return 0;
    case 'n':
      options->check = true;
      return 0;
    case ARGP_KEY_END:
      if (!options->config)
        argp_error (state, "--config FILE is required");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static void
print_finding (const kwf_finding_t *finding, void *data)
{
  (void)data;
  fprintf (stderr, "%s:%d: %s: found %s; allowed: %s\n", finding->file,
           finding->line, finding->field, finding->found, finding->allowed);
}

static kwf_log_level_t
log_level (const char *name)
{
  static const char *const names[] = { [KWF_LOG_DEBUG] = "debug",
                                       [KWF_LOG_INFO] = "info",
                                       [KWF_LOG_WARNING] = "warning",
                                       [KWF_LOG_ERROR] = "error" };
  for (int i = KWF_LOG_DEBUG; i <= KWF_LOG_ERROR; i++)
    if (strcmp (name, names[i]) == 0)
      return (kwf_log_level_t)i;
  return KWF_LOG_INFO;
}

/* State of the signals that stop the daemon.  */
typedef struct
{
  instance_t *instance;
  bool stopping;
} stopper_t;

static void
on_interrupt (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  stopper_t *stopper = watcher->data;
  stopper->stopping = true;
  instance_stop (stopper->instance);
}

/* Service managers may send SIGTERM again and again, and SIGKILL when their
   patience ends, so that only SIGINT cuts a graceful stop short.  */
static void
on_terminate (struct ev_loop *loop, ev_signal *watcher, int events)
{
  const stopper_t *stopper = watcher->data;
  if (stopper->stopping)
    logging_event (16, KWF_LOG_INFO,
                   "SIGTERM during the stop, which goes on; SIGINT ends it");
  else
    on_interrupt (loop, watcher, events);
}

/* Blocks of at least this size are mapped on their own, so that the memory of
   large bodies returns to the system as soon as they are freed.  Otherwise
   glibc raises the bound to the largest block that was ever freed, and large
   blocks leave holes in the heap.  */
#define MAPPED_BYTES (128 << 10)

/* Interval of checks for a changed settings file.  The file can change without
   a signal, and one stat call each second has no measurable cost.  */
#define CHECK_INTERVAL_S 1.0

/* State for reading the settings again while the daemon runs.  */
typedef struct
{
  instance_t *instance;
  const char *config;
  kwf_settings_t *newest;  /* last valid settings that were read again; NULL:
                              none */
  struct stat file_status; /* status of the settings file when it was last
                              read */
} reload_t;

static void
log_finding (const kwf_finding_t *finding, void *data)
{
  (void)data;
  logging_event (14, KWF_LOG_ERROR, "%s:%d: %s: found %s; allowed: %s",
                 finding->file, finding->line, finding->field, finding->found,
                 finding->allowed);
}

static void
reload_settings (reload_t *reload)
{
  kwf_error_t error;
  kwf_settings_t *settings
      = kwf_settings_read (reload->config, log_finding, NULL);
  if (!settings)
    return;
  if (instance_reload (reload->instance, settings, &error))
    logging_event (13, KWF_LOG_INFO,
                   "certificates, tokens and secrets were read again");
  else
    logging_event (14, KWF_LOG_ERROR, "%s: %s: %s", error.step, error.peer,
                   error.message);
  kwf_settings_free (reload->newest);
  reload->newest = settings;
}

/* Store the status of the settings file and return whether it has changed.  A
   file that is missing for a moment counts as unchanged.  */
static bool
update_file_status (reload_t *reload)
{
  struct stat now;
  if (stat (reload->config, &now) != 0)
    return false;
  bool same = now.st_ino == reload->file_status.st_ino
              && now.st_size == reload->file_status.st_size
              && now.st_mtim.tv_sec == reload->file_status.st_mtim.tv_sec
              && now.st_mtim.tv_nsec == reload->file_status.st_mtim.tv_nsec;
  reload->file_status = now;
  return !same;
}

/* Until its handler is there, SIGHUP would end the process.  HOW: SIG_BLOCK or
   SIG_UNBLOCK.  */
static void
mask_hangup (int how)
{
  sigset_t set;
  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  sigprocmask (how, &set, NULL);
}

static void
on_hangup (struct ev_loop *loop, ev_signal *watcher, int events)
{
  (void)loop;
  (void)events;
  update_file_status (watcher->data);
  reload_settings (watcher->data);
}

static void
on_check_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  if (update_file_status (timer->data))
    reload_settings (timer->data);
}

static int
serve (const kwf_settings_t *settings, const char *config)
{
  struct ev_loop *loop = ev_default_loop (EVFLAG_AUTO);
  kwf_error_t error;
  const protocol_t *dialect = strcmp (settings->protocol, "rows") == 0
                                  ? &rows_protocol
                                  : &table_protocol;
  instance_t *instance = instance_start (loop, settings, dialect, &error);
  if (!instance)
    {
      logging_event (12, KWF_LOG_ERROR, "%s: %s: %s", error.step, error.peer,
                     error.message);
      return EXIT_FAILED;
    }
  ev_signal term;
  ev_signal interrupt;
  stopper_t stopper = { .instance = instance };
  ev_signal_init (&term, on_terminate, SIGTERM);
  ev_signal_init (&interrupt, on_interrupt, SIGINT);
  term.data = interrupt.data = &stopper;
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &interrupt);
  reload_t reload = { .instance = instance, .config = config };
  ev_signal hangup;
  ev_signal_init (&hangup, on_hangup, SIGHUP);
  hangup.data = &reload;
  ev_signal_start (loop, &hangup);
  mask_hangup (SIG_UNBLOCK);
  ev_timer check_timer;
  update_file_status (&reload);
  ev_timer_init (&check_timer, on_check_timer, CHECK_INTERVAL_S,
                 CHECK_INTERVAL_S);
  check_timer.data = &reload;
  ev_timer_start (loop, &check_timer);
  printf ("listening on %s, operators on %s, peers on %s\n",
          instance_caller_address (instance),
          instance_operator_address (instance),
          instance_peer_address (instance));
  fflush (stdout);
  ev_run (loop, 0);
  ev_timer_stop (loop, &check_timer);
  instance_free (instance);
  kwf_settings_free (reload.newest);
  return EXIT_OK;
}

int
main (int argc, char **argv)
{
  static const struct argp_option arguments[]
      = { { "config", 'c', "FILE", 0, "Read the settings from FILE", 0 },
          { "check", 'n', NULL, 0, "Check the settings and exit", 0 },
          { 0 } };
  static const struct argp argp = {
    .options = arguments,
    .parser = parse_option,
    .doc
    = "Serve callers' requests as one entry instance.\v"
      "SIGTERM stops gracefully: the instance leaves the address list, "
      "serves until the address lists that it handed out have run out and "
      "every request has ended, and exits with status 0.  SIGINT during "
      "that stops it at once and logs what was cut; another SIGTERM changes "
      "nothing.  SIGHUP, or a change of FILE, "
      "makes it read TLS files, operator tokens and fleet secrets "
      "again.\n\n"
      "Exit status: 0 stopped or settings valid, 1 failed to start, 2 "
      "wrong usage or invalid settings.",
  };
  options_t options = { 0 };
  mask_hangup (SIG_BLOCK);
  argp_err_exit_status = EXIT_USAGE;
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  signal (SIGPIPE, SIG_IGN);
  mallopt (M_MMAP_THRESHOLD, MAPPED_BYTES);
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    {
      fprintf (stderr, "knapweedforkd: cannot set up the libraries\n");
      return EXIT_FAILED;
    }
  kwf_settings_t *settings
      = kwf_settings_read (options.config, print_finding, NULL);
  if (!settings)
    return EXIT_USAGE;
  int status = EXIT_OK;
  if (!options.check)
    {
      logging_start (settings->instance,
                     strcmp (settings->log_format, "json") == 0,
                     log_level (settings->log_level));
      status = serve (settings, options.config);
    }
  kwf_settings_free (settings);
  curl_global_cleanup ();
  return status;
}
