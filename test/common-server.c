#include "common-server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common-certificate.h"
#include "common-process.h"

/* Every 2 ms: writes 100 numbers to the stream of /numbers, so that it takes
   several turns of the loop with several writes in each; aborts the request of
   /abort-later; writes 64 KiB to the stream of /flood.  */
static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  test_server_t *fixture = watcher->data;
  for (int i = 0; fixture->numbers_request && i < 100; i++)
    {
      char text[16];
      int size = snprintf (text, sizeof text, "%d\n", fixture->next++);
      server_write (fixture->server, fixture->numbers_request, text,
                    (size_t)size);
      if (fixture->next == N_NUMBERS)
        {
          server_end (fixture->server, fixture->numbers_request);
          fixture->numbers_request = 0;
        }
    }
  server_abort (fixture->server, fixture->to_abort);
  static char block[65536];
  if (fixture->flood_request)
    {
      server_write (fixture->server, fixture->flood_request, block,
                    sizeof block);
      atomic_fetch_add (&fixture->flooded_bytes, sizeof block);
    }
}

/* The body is a certificate and a key, separated by '|'.  */
static void
replace_certificate (server_t *server, const server_request_t *request)
{
  kwf_error_t error;
  char **parts = g_strsplit (request->body, "|", 2);
  bool good
      = server_set_certificate (server, parts[0], parts[1], &error) == KWF_OK;
  const char *answer = good ? "replaced" : error.message;
  server_reply (server, request->handle, 200, "text/plain", NULL, 0, answer,
                strlen (answer));
  g_strfreev (parts);
}

/* A stream of parts, all written at once; the query has their sizes.  */
static void
write_parts (server_t *server, const server_request_t *request)
{
  kwf_handle_t handle = request->handle;
  char **sizes = g_strsplit (request->query, ",", -1);
  server_begin (server, handle, 200, "text/plain", NULL, 0, SERVER_END_CHUNKS);
  for (char **size = sizes; *size; size++)
    {
      gsize n = g_ascii_strtoull (*size, NULL, 10);
      char *part = g_strnfill (n, 'x');
      server_write (server, handle, part, n);
      g_free (part);
    }
  server_end (server, handle);
  g_strfreev (sizes);
}

/* An answer with a header of as many bytes as the query says, or 502.  */
static void
reply_with_head (server_t *server, const server_request_t *request)
{
  char *value = g_strnfill (g_ascii_strtoull (request->query, NULL, 10), 'x');
  header_t header = { "X-Large", value };
  bool fits = server_head_fits (server, request->handle,
                                strlen (header.name) + strlen (value)
                                    + strlen (": \r\n"));
  server_reply (server, request->handle, fits ? 200 : 502, "text/plain",
                &header, fits, "whole", 5);
  g_free (value);
}

static void
on_request (server_t *server, const server_request_t *request, void *data)
{
  test_server_t *fixture = data;
  kwf_handle_t handle = request->handle;
  atomic_fetch_add (&fixture->n_requests, 1);
  if (strcmp (request->path, "/hold") == 0)
    fixture->held = handle;
  else if (strcmp (request->path, "/release") == 0)
    {
      server_reply (server, fixture->held, 200, "text/plain", NULL, 0, "held",
                    4);
      server_reply (server, handle, 200, "text/plain", NULL, 0, "done", 4);
    }
  else if (strcmp (request->path, "/numbers") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      fixture->numbers_request = handle;
      fixture->next = 0;
    }
  else if (strcmp (request->path, "/certificate") == 0)
    replace_certificate (server, request);
  else if (strcmp (request->path, "/batch") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      for (int i = 0; i < 100; i++)
        server_write (server, handle, "x", 1);
      server_end (server, handle);
    }
  else if (strcmp (request->path, "/parts") == 0)
    write_parts (server, request);
  else if (strcmp (request->path, "/head") == 0)
    reply_with_head (server, request);
  else if (strcmp (request->path, "/open") == 0)
    server_begin (server, handle, 200, "text/plain", NULL, 0,
                  SERVER_END_CHUNKS);
  else if (strcmp (request->path, "/flood") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      fixture->flood_request = handle;
    }
  else if (strcmp (request->path, "/busy") == 0)
    {
      pause_ms (BUSY_MS);
      server_reply (server, handle, 200, "text/plain", NULL, 0, "", 0);
    }
  else if (strcmp (request->path, "/twice") == 0)
    {
      server_reply (server, handle, 200, "text/plain", NULL, 0, "first", 5);
      server_reply (server, handle, 503, "text/plain", NULL, 0, "second", 6);
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      server_write (server, handle, "third", 5);
      server_end (server, handle);
    }
  else if (strcmp (request->path, "/mixed") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      server_write (server, handle, "part", 4);
      server_reply (server, handle, 503, "text/plain", NULL, 0, "whole", 5);
    }
  else if (strcmp (request->path, "/abort-first") == 0)
    server_abort (server, handle);
  else if (strcmp (request->path, "/abort-later") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      fixture->to_abort = handle;
    }
  else if (strcmp (request->path, "/abort") == 0)
    {
      server_begin (server, handle, 200, "text/plain", NULL, 0,
                    SERVER_END_CHUNKS);
      server_write (server, handle, "part", 4);
      server_abort (server, handle);
    }
  else
    {
      char *text
          = g_strdup_printf ("%s %s %s %s %.*s", request->method,
                             request->path, request->raw_path, request->query,
                             (int)request->body_size, request->body);
      const char *echo = server_header (request, "x-echo");
      header_t header = { "X-Echo", echo };
      server_reply (server, handle, 200, "text/plain", &header, echo != NULL,
                    text, strlen (text));
      g_free (text);
    }
}

static void
on_gone (server_t *server, kwf_handle_t handle, void *data)
{
  test_server_t *fixture = data;
  if (fixture->flood_request == handle)
    fixture->flood_request = 0;
  assert_null (server_request (server, handle));
  server_write (server, handle, "late", 4);
  atomic_fetch_add (&fixture->n_gone, 1);
}

static void
on_stop (struct ev_loop *loop, ev_async *watcher, int events)
{
  (void)watcher;
  (void)events;
  ev_break (loop, EVBREAK_ALL);
}

static void
on_quiesce (struct ev_loop *loop, ev_async *watcher, int events)
{
  (void)loop;
  (void)events;
  test_server_t *fixture = watcher->data;
  server_quiesce (fixture->server);
}

static void *
run (void *data)
{
  test_server_t *fixture = data;
  ev_run (fixture->loop, 0);
  server_stop (fixture->server);
  ev_loop_destroy (fixture->loop);
  return NULL;
}

static int
set_up_with (void **state, unsigned idle_s, bool tls)
{
  static const server_handler_t handler
      = { .request = on_request, .gone = on_gone };
  test_server_t *fixture = g_new0 (test_server_t, 1);
  char *certificate = NULL;
  char *key = NULL;
  if (tls)
    assert_true (certificate_make (&certificate, &key));
  server_options_t options = { .address = "127.0.0.1:0",
                               .tls_certificate = certificate,
                               .tls_key = key,
                               .max_body_bytes = 100000,
                               .max_header_bytes = 8192,
                               .max_pending_bytes = 1 << 20,
                               .idle_s = idle_s };
  kwf_error_t error;
  fixture->loop = ev_loop_new (0);
  fixture->server
      = server_start (fixture->loop, &options, &handler, fixture, &error);
  assert_non_null (fixture->server);
  g_free (certificate);
  g_free (key);
  fixture->port = server_port (fixture->server);
  snprintf (fixture->address, sizeof fixture->address, "127.0.0.1:%d",
            fixture->port);
  ev_async_init (&fixture->stop, on_stop);
  ev_async_start (fixture->loop, &fixture->stop);
  ev_async_init (&fixture->quiesce, on_quiesce);
  fixture->quiesce.data = fixture;
  ev_async_start (fixture->loop, &fixture->quiesce);
  ev_timer_init (&fixture->tick, on_tick, 0.002, 0.002);
  fixture->tick.data = fixture;
  ev_timer_start (fixture->loop, &fixture->tick);
  pthread_create (&fixture->thread, NULL, run, fixture);
  *state = fixture;
  return 0;
}

int
test_server_set_up (void **state)
{
  return set_up_with (state, 1, false);
}

int
test_server_set_up_patient (void **state)
{
  return set_up_with (state, 600, false);
}

int
test_server_set_up_tls (void **state)
{
  return set_up_with (state, 600, true);
}

int
test_server_tear_down (void **state)
{
  test_server_t *fixture = *state;
  ev_async_send (fixture->loop, &fixture->stop);
  pthread_join (fixture->thread, NULL);
  g_free (fixture);
  return 0;
}

void
test_server_wait (atomic_int *value, int wanted)
{
  for (int i = 0; i < 500 && atomic_load (value) < wanted; i++)
    pause_ms (10);
  assert_int_equal (atomic_load (value), wanted);
}

int
test_server_open (const test_server_t *fixture, const char *text)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)fixture->port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct timeval limit = { .tv_sec = 10 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  assert_int_equal (connect (fd, (struct sockaddr *)&address, sizeof address),
                    0);
  assert_int_equal (send (fd, text, strlen (text), MSG_NOSIGNAL),
                    strlen (text));
  return fd;
}

char *
test_server_read (int fd, const char *until)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  ssize_t n;
  while (!(until && strstr (text->str, until))
         && (n = recv (fd, buffer, sizeof buffer, 0)) > 0)
    g_string_append_len (text, buffer, n);
  return g_string_free (text, FALSE);
}
