/* Processes of instances: started, signalled and waited for by their pids.  */

#include <signal.h>
#include <string.h>
#include <sys/wait.h>

#include <knapweedfork/clock.h>

#include "soak.h"

/* From SIGTERM until the end, beyond the grace.  */
#define STOP_SPARE_MS 2000

static void
write_settings (const soak_t *soak, const instance_t *instance,
                const char *path)
{
  char *platform = parts_settings (soak, "platform");
  char *backend = parts_settings (soak, "backend");
  char *queue = parts_settings (soak, "queue");
  char *text = g_strdup_printf (
      "[instance]\nid = \"%s\"\ndata_centre = \"%s\"\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "grace_s = %d\n"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = 2000\n"
      "lists_ms = %d\n%s"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\nretry_share = %g\nretry_window_s = %d\nretry_slack = %d\n%s"
      "%s[placement]\nmode = \"static\"\n"
      "[log]\nformat = \"json\"\nlevel = \"info\"\n",
      instance->id, instance->data_centre, soak->grace_s,
      fake_store_address (soak->store), CONFIG_APPLY_MS, platform,
      BUDGET_RATIO, BUDGET_WINDOW_MS / 1000, BUDGET_SLACK, backend, queue);
  g_file_set_contents (path, text, -1, NULL);
  g_free (platform);
  g_free (backend);
  g_free (queue);
  g_free (text);
}

/* The daemon that INSTANCE starts: with KWF_OLD_DAEMON, which names that of an
   earlier build, each start draws one of the two.  */
static const char *
daemon_of (const soak_t *soak, const instance_t *instance)
{
  const char *old = g_getenv ("KWF_OLD_DAEMON");
  bool draws_old = soak_hash (soak, instance->id, instance->incarnation) & 1;
  return old && draws_old ? old : "knapweedforkd";
}

static void
start (const soak_t *soak, instance_t *instance)
{
  instance->incarnation++;
  char *settings
      = g_strdup_printf ("%s/%s.toml", soak->directory, instance->id);
  g_free (instance->log);
  instance->log = g_strdup_printf ("%s/%s.%d.log", soak->directory,
                                   instance->id, instance->incarnation);
  write_settings (soak, instance, settings);
  const char *args[] = { "--config", settings, NULL };
  if (!process_spawn_logged (&instance->process, daemon_of (soak, instance),
                             args, instance->log))
    g_error ("cannot start an instance");
  instance->is_up = false;
  instance->is_frozen = false;
  instance->end_expected = false;
  instance->restarts = false;
  instance->start_ns = 0;
  instance->term_ns = 0;
  instance->hup_ns = 0;
  instance->again_ns = 0;
  instance->rude_ns = 0;
  instance->kill_ns = 0;
  instance->continue_ns = 0;
  g_free (settings);
}

void
instances_start (soak_t *soak)
{
  soak->instances = g_new0 (instance_t, soak->n_instances);
  for (int i = 0; i < soak->n_instances; i++)
    {
      instance_t *instance = &soak->instances[i];
      g_snprintf (instance->id, sizeof instance->id, "i%d", i);
      instance->data_centre = i % DATA_CENTRES ? "c2" : "c1";
      start (soak, instance);
    }
}

static bool
is_store_calm (const soak_t *soak, int64_t since_ns)
{
  return !soak->store_back_ns && soak->store_calm_ns <= since_ns;
}

bool
is_undisturbed (const soak_t *soak, int i, int64_t sent_ns)
{
  const instance_t *instance = &soak->instances[i];
  int64_t since_ns = sent_ns - CONTACT_MS * KWF_NS_PER_MS;
  return !instance->is_frozen && instance->calm_ns <= since_ns
         && is_store_calm (soak, since_ns);
}

bool
is_steady (const soak_t *soak, int i, int64_t sent_ns)
{
  const instance_t *instance = &soak->instances[i];
  return instance->is_up && !instance->term_ns && !instance->hup_ns
         && is_undisturbed (soak, i, sent_ns);
}

bool
is_planned (const soak_t *soak, int i, int64_t sent_ns, int64_t now_ns)
{
  const instance_t *instance = &soak->instances[i];
  int64_t stop_ns = (soak->grace_s + 1) * KWF_NS_PER_S;
  int64_t apply_ns = CONFIG_APPLY_MS * KWF_NS_PER_MS;
  bool stops = instance->term_ns && now_ns <= instance->term_ns + stop_ns;
  bool hangs_up = instance->hup_ns && sent_ns <= instance->hup_ns + apply_ns;
  return (stops || hangs_up) && is_undisturbed (soak, i, sent_ns);
}

bool
is_in_touch (const soak_t *soak, int i, int64_t now_ns)
{
  const instance_t *instance = &soak->instances[i];
  int64_t since_ns = now_ns - CONTACT_MS * KWF_NS_PER_MS;
  return instance->is_up && !instance->is_frozen && !instance->end_expected
         && instance->calm_ns <= since_ns && is_store_calm (soak, since_ns);
}

/* Looks for the line that tells the address.  */
static void
look_for_address (instance_t *instance)
{
  static const char start_of_line[] = "listening on ";
  char *text = NULL;
  if (!g_file_get_contents (instance->log, &text, NULL, NULL))
    return;
  const char *at = strstr (text, start_of_line);
  if (at && strchr (at, '\n'))
    {
      at += strlen (start_of_line);
      g_strlcpy (
          instance->process.address, at,
          MIN (sizeof instance->process.address, strcspn (at, ",\n") + 1));
      instance->is_up = true;
      instance->calm_ns = soak_now_ns ();
    }
  g_free (text);
}

static bool
is_good_end (const instance_t *instance, int status)
{
  if (WIFSIGNALED (status))
    return instance->end_expected
           && (WTERMSIG (status) == SIGKILL
               || (WTERMSIG (status) == SIGTERM && !instance->is_up));
  return instance->end_expected && WEXITSTATUS (status) == 0;
}

static void
wait_for_end (soak_t *soak, instance_t *instance, int64_t now_ns)
{
  int status = process_wait (&instance->process, 0);
  if (status == -1)
    return;
  if (!is_good_end (instance, status))
    soak_break (
        soak, RULE_LOST, NULL, NULL,
        "process of %s.%d ended by itself, %s %d; log %s", instance->id,
        instance->incarnation, WIFSIGNALED (status) ? "signal" : "status",
        WIFSIGNALED (status) ? WTERMSIG (status) : WEXITSTATUS (status),
        instance->log);
  instance->is_up = false;
  instance->is_frozen = false;
  if (instance->restarts && !soak->closing)
    instance->start_ns = now_ns;
  else if (!soak->closing)
    instance->start_ns
        = now_ns
          + (int64_t)(100
                      + soak_hash (soak, instance->id, instance->incarnation)
                            % 900)
                * KWF_NS_PER_MS;
}

static void
tick (soak_t *soak, instance_t *instance, int64_t now_ns)
{
  process_t *process = &instance->process;
  if (!process->pid)
    {
      if (instance->start_ns && now_ns >= instance->start_ns)
        start (soak, instance);
      return;
    }
  if (instance->continue_ns && now_ns >= instance->continue_ns)
    {
      process_signal (process, SIGCONT);
      instance->continue_ns = 0;
      instance->is_frozen = false;
      instance->calm_ns = now_ns;
    }
  if (instance->again_ns && now_ns >= instance->again_ns)
    {
      instance->again_ns = 0;
      process_signal (process, SIGTERM);
    }
  if (instance->rude_ns && now_ns >= instance->rude_ns)
    {
      instance->rude_ns = 0;
      instance->calm_ns = now_ns;
      process_signal (process, SIGKILL);
    }
  if (instance->kill_ns && now_ns >= instance->kill_ns)
    {
      process_signal (process, SIGKILL);
      instance->kill_ns = 0;
    }
  if (!instance->is_up && !instance->end_expected)
    look_for_address (instance);
  wait_for_end (soak, instance, now_ns);
}

void
instances_tick (soak_t *soak, int64_t now_ns)
{
  for (int i = 0; i < soak->n_instances; i++)
    tick (soak, &soak->instances[i], now_ns);
}

void
instance_signal (soak_t *soak, int i, int signal, unsigned value)
{
  instance_t *instance = &soak->instances[i];
  int64_t now_ns = soak_now_ns ();
  /* A process that does not listen yet may not have reached main, which
     blocks SIGHUP.  */
  if (!instance->process.pid || (signal == SIGHUP && !instance->is_up))
    return;
  process_signal (&instance->process, signal);
  if (signal == SIGKILL || signal == SIGSTOP)
    instance->calm_ns = now_ns;
  if (signal == SIGTERM || signal == SIGKILL)
    instance->end_expected = true;
  if (signal == SIGHUP)
    instance->hup_ns = now_ns;
  if (signal == SIGTERM && !instance->term_ns)
    {
      instance->term_ns = now_ns;
      instance->kill_ns = now_ns + soak->grace_s * KWF_NS_PER_S;
    }
  if (signal == SIGSTOP)
    {
      instance->is_frozen = true;
      instance->continue_ns
          = now_ns + (int64_t)(50 + value % 2500) * KWF_NS_PER_MS;
    }
}

void
instance_term_again (soak_t *soak, int i, unsigned value)
{
  instance_signal (soak, i, SIGTERM, 0);
  soak->instances[i].again_ns
      = soak_now_ns () + (int64_t)(value % 8000) * KWF_NS_PER_MS;
}

void
instance_restart (soak_t *soak, int i, unsigned value)
{
  instance_t *instance = &soak->instances[i];
  instance_signal (soak, i, SIGTERM, 0);
  instance->restarts = true;
  if (value & 1)
    instance->rude_ns
        = soak_now_ns () + (int64_t)(value / 2 % 4000) * KWF_NS_PER_MS;
}

void
instances_stop (soak_t *soak)
{
  soak->closing = true;
  for (int i = 0; i < soak->n_instances; i++)
    instance_signal (soak, i, SIGTERM, 0);
  int n_left = 1;
  int64_t end_ns = soak_now_ns () + soak->grace_s * KWF_NS_PER_S
                   + STOP_SPARE_MS * KWF_NS_PER_MS;
  while (n_left && soak_now_ns () < end_ns)
    {
      run_for (soak->loop, TICK_S);
      n_left = 0;
      for (int i = 0; i < soak->n_instances; i++)
        n_left += soak->instances[i].process.pid != 0;
    }
  for (int i = 0; i < soak->n_instances; i++)
    process_kill (&soak->instances[i].process);
}

void
instances_free (soak_t *soak)
{
  for (int i = 0; i < soak->n_instances; i++)
    g_free (soak->instances[i].log);
  g_free (soak->instances);
}
