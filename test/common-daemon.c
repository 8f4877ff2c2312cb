#include "common-daemon.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "common-listener.h"

/* Copies what follows NAME in LINE, up to a comma.  */
static void
copy_address (const char *line, const char *name, char *address, size_t size)
{
  const char *at = strstr (line, name);
  if (at)
    g_strlcpy (address, at + strlen (name), size);
  address[strcspn (address, ",")] = '\0';
}

void
test_daemon_start_with (test_daemon_t *daemon, struct ev_loop *loop,
                        const char *routes,
                        const test_daemon_options_t *options)
{
  *daemon = (test_daemon_t){ .loop = loop };
  daemon->store = fake_store_start (loop);
  daemon->directory = g_dir_make_tmp ("kwf-daemon-XXXXXX", NULL);
  daemon->settings = g_build_filename (daemon->directory, "s.toml", NULL);
  char *config = g_strdup_printf (
      "{\"version\":1,\"services\":[{\"name\":\"desk\"}],\"routes\":[%s],"
      "\"tenants\":[]}",
      routes);
  fake_store_put (daemon->store, "op", "config", config);
  g_free (config);
  char *text = g_strdup_printf (
      "[instance]\nid = \"i1\"\ndata_centre = \"c\"\nmemory_mb = %d\n"
      "[callers]\nlisten = \"127.0.0.1:0\"\naddress_lifetime_ms = 1000\n"
      "grace_s = %d\n%s"
      "[operator]\nlisten = \"127.0.0.1:0\"\n"
      "[peers]\nlisten = \"127.0.0.1:0\"\n"
      "[platform]\naddress = \"%s\"\nprotocol = \"rows\"\nfresh_ms = 2000\n%s"
      "[session]\nlease_ms = 300000\nrenew_ms = 100000\n"
      "[backend]\n%s"
      "[placement]\nmode = \"dynamic\"\n",
      options->memory_mb, options->grace_s,
      options->callers ? options->callers : "",
      fake_store_address (daemon->store),
      options->platform ? options->platform : "",
      options->retries ? options->retries : "retry_share = 0.2\n");
  assert_true (g_file_set_contents (daemon->settings, text, -1, NULL));
  g_free (text);
  const char *args[] = { "--config", daemon->settings, NULL };
  assert_true (process_start (&daemon->process, "knapweedforkd", args));
  /* Other addresses follow on the same line.  */
  copy_address (daemon->process.address, "peers on ", daemon->peers,
                sizeof daemon->peers);
  copy_address (daemon->process.address, "operators on ", daemon->operators,
                sizeof daemon->operators);
  daemon->process.address[strcspn (daemon->process.address, ",")] = '\0';
}

void
test_daemon_start (test_daemon_t *daemon, struct ev_loop *loop,
                   const char *routes)
{
  test_daemon_start_with (daemon, loop, routes, &(test_daemon_options_t){ 0 });
}

/* Path of the settings of the instance that was started as NUMBER.  */
static char *
other_settings (const test_daemon_t *daemon, int number)
{
  return g_strdup_printf ("%s/s%d.toml", daemon->directory, number);
}

void
test_daemon_start_other (test_daemon_t *daemon, process_t *other)
{
  char *text;
  assert_true (g_file_get_contents (daemon->settings, &text, NULL, NULL));
  char *id = strstr (text, "\"i1\"");
  assert_non_null (id);
  assert_in_range (daemon->n_others, 0, TEST_OTHERS - 1);
  char *operators = daemon->other_operators[daemon->n_others];
  id[2] = (char)('2' + daemon->n_others++);
  char *settings = other_settings (daemon, daemon->n_others);
  assert_true (g_file_set_contents (settings, text, -1, NULL));
  const char *args[] = { "--config", settings, NULL };
  assert_true (process_start (other, "knapweedforkd", args));
  copy_address (other->address, "operators on ", operators,
                sizeof daemon->other_operators[0]);
  other->address[strcspn (other->address, ",")] = '\0';
  g_free (settings);
  g_free (text);
}

void
test_daemon_stop (test_daemon_t *daemon)
{
  process_kill (&daemon->process);
  fake_store_stop (daemon->store);
  for (int i = 1; i <= daemon->n_others; i++)
    {
      char *settings = other_settings (daemon, i);
      g_unlink (settings);
      g_free (settings);
    }
  g_unlink (daemon->settings);
  g_rmdir (daemon->directory);
  g_free (daemon->settings);
  g_free (daemon->directory);
}

void
test_daemon_add_server (const test_daemon_t *daemon, const char *name,
                        const char *address)
{
  char *text = g_strdup_printf (
      "{\"backend\":\"desk\",\"address\":\"%s\",\"zone\":\"c\",\"version\":"
      "\"1\",\"slots\":6,\"state\":\"ready\",\"seq\":1,\"born\":1}",
      address);
  fake_store_put (daemon->store, "servers", name, text);
  g_free (text);
}

/* One connection of raw_call.  */
typedef struct
{
  ev_io io; /* first member */
  raw_answer_t *answer;
  const char *until;
  int ended;
} raw_caller_t;

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  (void)events;
  raw_caller_t *caller = (raw_caller_t *)io;
  GString *bytes = caller->answer->bytes;
  char buffer[4096];
  ssize_t n = recv (io->fd, buffer, sizeof buffer, 0);
  if (n > 0)
    g_string_append_len (bytes, buffer, n);
  else if (n < 0 && errno == EAGAIN)
    return;
  caller->answer->closed = n <= 0;
  caller->answer->reset = n < 0;
  if (n > 0 && !(caller->until && strstr (bytes->str, caller->until)))
    return;
  caller->ended = 1;
  ev_io_stop (loop, io);
}

static int
connect_to (const char *address)
{
  const char *colon = strrchr (address, ':');
  struct sockaddr_in in
      = { .sin_family = AF_INET,
          .sin_port = htons ((uint16_t)strtoul (colon + 1, NULL, 10)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true (fd >= 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&in, sizeof in), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL),
                    strlen (text));
}

int
raw_send (const char *address, const char *request)
{
  int fd = connect_to (address);
  send_text (fd, request);
  return fd;
}

void
raw_call_in_parts (struct ev_loop *loop, const char *address,
                   const char *first, double pause_s, const char *rest,
                   const char *until, double limit_s, raw_answer_t *answer)
{
  *answer = (raw_answer_t){ .bytes = g_string_new (NULL) };
  raw_caller_t caller = { .answer = answer, .until = until };
  int64_t began_ns = kwf_now_ns (kwf_clock_system ());
  int fd = raw_send (address, first);
  if (rest)
    {
      run_for (loop, pause_s);
      send_text (fd, rest);
    }
  ev_io_init (&caller.io, on_readable, fd, EV_READ);
  ev_io_start (loop, &caller.io);
  run_until (loop, &caller.ended, 1, limit_s);
  ev_io_stop (loop, &caller.io);
  close (fd);
  answer->seconds = (double)(kwf_now_ns (kwf_clock_system ()) - began_ns)
                    / (double)KWF_NS_PER_S;
}

void
raw_call (struct ev_loop *loop, const char *address, const char *request,
          const char *until, double limit_s, raw_answer_t *answer)
{
  raw_call_in_parts (loop, address, request, 0, NULL, until, limit_s, answer);
}

void
raw_answer_clear (raw_answer_t *answer)
{
  g_string_free (answer->bytes, TRUE);
}

int
raw_answer_status (const raw_answer_t *answer)
{
  const char *space = strchr (answer->bytes->str, ' ');
  return g_str_has_prefix (answer->bytes->str, "HTTP/1.") && space
             ? (int)strtol (space, NULL, 10)
             : 0;
}

/* The bytes of the chunks at AT.  */
static char *
join_chunks (const char *at, bool *whole)
{
  GString *body = g_string_new (NULL);
  for (;;)
    {
      char *data;
      size_t size = strtoul (at, &data, 16);
      *whole = data != at && !size && g_str_has_prefix (data, "\r\n\r\n");
      if (data == at || !size || !g_str_has_prefix (data, "\r\n"))
        break;
      data += 2;
      g_string_append_len (body, data, (gssize)strnlen (data, size));
      if (strnlen (data, size) < size)
        break;
      at = data + size + 2;
    }
  return g_string_free (body, FALSE);
}

char *
raw_answer_body (const raw_answer_t *answer, bool *whole)
{
  const char *head = answer->bytes->str;
  const char *end = strstr (head, "\r\n\r\n");
  *whole = false;
  if (!end)
    return g_strdup ("");
  const char *body = end + 4;
  const char *length = strcasestr (head, "\r\nContent-Length:");
  const char *chunked = strcasestr (head, "\r\nTransfer-Encoding: chunked");
  if (chunked && chunked < end)
    return join_chunks (body, whole);
  if (length && length < end)
    *whole = strlen (body) == strtoul (length + 17, NULL, 10);
  else
    *whole = answer->closed && !answer->reset;
  return g_strdup (body);
}
