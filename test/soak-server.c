/* Scripted backend servers: their processes, entries and reports.  */

#include <string.h>
#include <sys/socket.h>

#include <knapweedfork/clock.h>

#include "soak.h"

#define PLAIN_SERVERS 4
#define ENGINES 3

static bool
is_engine (const backend_t *backend)
{
  return strcmp (backend->service, "engine") == 0;
}

/* A restart clears the number of the orders.  */
static void
put_entry (const backend_t *backend)
{
  char *fields = parts_entry_fields (backend);
  char *text = g_strdup_printf (
      "{\"backend\":\"%s\",\"address\":\"%s\",\"zone\":\"c%d\",\"version\":"
      "\"%d\",\"slots\":%d,\"state\":\"%s\",\"seq\":1,\"born\":"
      "%" G_GINT64_FORMAT "%s%s}",
      backend->service, backend->listener->address,
      backend->index % DATA_CENTRES + 1, backend->version,
      parts_slots (backend), backend->leaving ? "draining" : "ready",
      backend->born_ms,
      is_engine (backend) ? ",\"stage\":\"colocated\",\"models\":[{\"name\":"
                            "\"m\",\"version\":1,\"adapters\":[]}]"
                          : "",
      fields);
  fake_store_put (backend->soak->store, "servers", backend->key, text);
  g_free (fields);
  g_free (text);
}

static void
reply_report (const backend_t *backend, connection_t *connection)
{
  char *text = g_strdup_printf (
      "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,"
      "\"adapters\":[]}],\"busy\":false,\"seq\":0,\"queued\":0,\"running\":%u,"
      "\"kv_used\":0,\"kv_total\":90000,\"handles\":0,\"born\":"
      "%" G_GINT64_FORMAT "}",
      backend->jobs->len, backend->born_ms);
  GString *answer = g_string_new (NULL);
  g_string_printf (answer,
                   "HTTP/1.1 200 X\r\nContent-Type: application/json\r\n"
                   "Content-Length: %zu\r\n\r\n%s",
                   strlen (text), text);
  parts_add_headers (backend, answer, true);
  connection_write (connection, answer->str, answer->len);
  g_string_free (answer, TRUE);
  g_free (text);
}

static void
serve (connection_t *connection, const char *text, void *data)
{
  backend_t *backend = data;
  if (g_str_has_prefix (text, "GET /-/report"))
    reply_report (backend, connection);
  else if (strstr (text, " /-/"))
    connection_reply (connection, 409, "{}");
  else
    job_start (backend, connection, text);
}

/* Some processes have the id of the one before, the others a new one.  An
   entry that names no address stands for one that was removed.  */
static void
name_process (backend_t *backend)
{
  if (*backend->key
      && soak_hash (backend->soak, "name",
                    backend->index + 100 * backend->incarnation)
             % 2)
    return;
  if (*backend->key)
    {
      fake_store_put (backend->soak->store, "servers", backend->key, "{}");
      drill_note_gone (backend);
    }
  g_snprintf (backend->key, sizeof backend->key, "d%d-%d", backend->index,
              backend->incarnation);
}

static void
start (backend_t *backend)
{
  backend->incarnation++;
  backend->born_ms = soak_now_ns () / KWF_NS_PER_MS;
  backend->calm_ns = soak_now_ns ();
  backend->leaving = backend->removed = false;
  backend->version = drill_version (backend);
  backend->left_ns = 0;
  backend->start_ns = 0;
  backend->crashes = false;
  g_hash_table_remove_all (backend->last_ids);
  name_process (backend);
  parts_start_server (backend);
  backend->listener
      = listener_start_at (backend->soak->loop, backend->port, serve, backend);
  cut_join (backend);
  put_entry (backend);
}

void
backends_start (soak_t *soak)
{
  static const char *const services[] = { "desk", "tally", "engine" };
  soak->n_backends = 2 * PLAIN_SERVERS + ENGINES;
  soak->backends = g_new0 (backend_t, soak->n_backends);
  for (int i = 0; i < soak->n_backends; i++)
    {
      backend_t *backend = &soak->backends[i];
      backend->soak = soak;
      backend->index = i;
      backend->service = services[MIN (i / PLAIN_SERVERS, 2)];
      backend->jobs = g_ptr_array_new_with_free_func (job_free);
      backend->last_ids = g_hash_table_new (NULL, NULL);
      backend->ends = g_array_new (FALSE, FALSE, sizeof (int64_t));
      backend->cold_arrivals = g_array_new (FALSE, FALSE, sizeof (int64_t));
      start (backend);
    }
}

/* Ends the process: its connections end with FIN, or with FIN and RST.  */
static void
end_process (backend_t *backend, bool reset)
{
  static const struct linger none = { .l_onoff = 1, .l_linger = 0 };
  for (guint i = 0; i < backend->jobs->len; i++)
    job_disturb (backend->jobs->pdata[i], true);
  for (guint i = 0; reset && i < backend->listener->open->len; i++)
    {
      const connection_t *connection = backend->listener->open->pdata[i];
      shutdown (connection->io.fd, SHUT_WR);
      setsockopt (connection->io.fd, SOL_SOCKET, SO_LINGER, &none,
                  sizeof none);
    }
  g_ptr_array_set_size (backend->jobs, 0);
  listener_stop (backend->listener);
  backend->listener = NULL;
  backend->thaw_ns = 0;
  backend->calm_ns = soak_now_ns ();
  g_array_append_val (backend->ends, backend->calm_ns);
}

void
backend_kill (backend_t *backend, unsigned value)
{
  if (!backend->listener)
    return;
  int port = backend->listener->port;
  int64_t pause_ms = value & 3 ? 100 + value % 1400 : 1 + value / 4 % 30;
  end_process (backend, value & 8);
  backend->port = value & 16 ? port : 0;
  backend->start_ns = soak_now_ns () + pause_ms * KWF_NS_PER_MS;
}

/* Stops or goes on reading; what arrives meanwhile stays in the kernel.  */
static void
set_reading (const backend_t *backend, bool reading)
{
  struct ev_loop *loop = backend->soak->loop;
  const GPtrArray *open = backend->listener->open;
  for (guint i = 0; i <= open->len; i++)
    {
      const connection_t *connection = i < open->len ? open->pdata[i] : NULL;
      ev_io *io = i < open->len ? &((connection_t *)open->pdata[i])->io
                                : &backend->listener->io;
      if (connection && connection->held)
        continue;
      if (reading)
        ev_io_start (loop, io);
      else
        ev_io_stop (loop, io);
    }
}

void
backend_read_if_thawed (const backend_t *backend)
{
  if (backend->thaw_ns)
    set_reading (backend, false);
}

void
backend_freeze (backend_t *backend, unsigned value)
{
  if (!backend->listener || backend->thaw_ns)
    return;
  for (guint i = 0; i < backend->jobs->len; i++)
    job_disturb (backend->jobs->pdata[i], false);
  set_reading (backend, false);
  backend->thaw_ns
      = soak_now_ns () + (int64_t)(100 + value % 2000) * KWF_NS_PER_MS;
}

static bool
is_store_stable (const soak_t *soak)
{
  return !soak->store_back_ns
         && soak_now_ns () - soak->store_calm_ns >= CONTACT_MS * KWF_NS_PER_MS;
}

/* Says "draining" or removes its entry, serves on for a while and ends.  */
void
backend_leave (backend_t *backend, unsigned value)
{
  if (!backend->listener || backend->leaving)
    return;
  backend->leaving = true;
  if (value % 2)
    put_entry (backend);
  else
    fake_store_remove (backend->soak->store, "servers", backend->key);
  backend->removed = value % 2 == 0;
  if (is_store_stable (backend->soak))
    backend->left_ns = soak_now_ns ();
  backend->port = 0;
  backend->start_ns
      = soak_now_ns () + (int64_t)(2000 + value % 4000) * KWF_NS_PER_MS;
}

void
backend_fail_service (const backend_t *backend, unsigned value)
{
  static const script_t scripts[]
      = { SCRIPT_REFUSE, SCRIPT_FAIL, SCRIPT_CUT, SCRIPT_RESET };
  soak_t *soak = backend->soak;
  int64_t until_ns
      = soak_now_ns () + (int64_t)(500 + value % 9500) * KWF_NS_PER_MS;
  int64_t calm_ns
      = soak->start_ns
        + (int64_t)((soak->seconds - CALM_S) * (double)KWF_NS_PER_S)
        + CONTACT_MS * KWF_NS_PER_MS;
  until_ns = MIN (until_ns, calm_ns);
  for (int i = 0; i < soak->n_backends; i++)
    if (strcmp (soak->backends[i].service, backend->service) == 0)
      {
        soak->backends[i].fail_ns = until_ns;
        soak->backends[i].fail_script
            = scripts[value / 16 % G_N_ELEMENTS (scripts)];
      }
}

static void
thaw (backend_t *backend)
{
  backend->thaw_ns = 0;
  backend->calm_ns = soak_now_ns ();
  backend->thawed_ns = backend->calm_ns;
  set_reading (backend, true);
}

static void
tick (backend_t *backend, int64_t now_ns)
{
  if (backend->start_ns && now_ns >= backend->start_ns)
    {
      if (backend->listener)
        end_process (backend, false);
      start (backend);
    }
  if (backend->thaw_ns && now_ns >= backend->thaw_ns)
    thaw (backend);
  if (backend->thaw_ns)
    return;
  bool again = backend->again_ns && now_ns >= backend->again_ns
               && !backend->soak->store_back_ns;
  if (again)
    backend->again_ns = 0;
  if (parts_take_due_entry (backend, now_ns)
      || (again && backend->listener && !backend->removed))
    put_entry (backend);
  for (guint i = backend->jobs->len; i-- > 0;)
    if (job_tick (backend->jobs->pdata[i], now_ns))
      g_ptr_array_remove_index (backend->jobs, i);
  if (!backend->crashes)
    return;
  backend->crashes = false;
  judge_bad_end (backend->soak);
  backend_kill (backend,
                soak_hash (backend->soak, "bad", backend->incarnation));
}

void
backends_tick (soak_t *soak, int64_t now_ns)
{
  for (int i = 0; i < soak->n_backends; i++)
    tick (&soak->backends[i], now_ns);
}

void
backends_stop (soak_t *soak)
{
  for (int i = 0; i < soak->n_backends; i++)
    {
      backend_t *backend = &soak->backends[i];
      if (backend->listener)
        end_process (backend, false);
      g_ptr_array_free (backend->jobs, TRUE);
      g_hash_table_destroy (backend->last_ids);
      g_array_free (backend->ends, TRUE);
      g_array_free (backend->cold_arrivals, TRUE);
    }
  g_free (soak->backends);
}
