/* A caller that takes nothing for granted: it reads the bytes of an answer
   itself.  */

#include "common-byte-call.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct byte_call
{
  struct ev_loop *loop;
  ev_io io;
  ev_timer timer;
  GString *in;
  char *request;
  byte_call_fn_t fn;
  void *data;
};

char *
byte_view_header (const byte_view_t *view, const char *name)
{
  char **lines = g_strsplit (view->head->str, "\r\n", -1);
  size_t size = strlen (name);
  char *value = NULL;
  for (char **line = lines; *line && !value; line++)
    if (g_ascii_strncasecmp (*line, name, size) == 0 && (*line)[size] == ':')
      value = g_strstrip (g_strdup (*line + size + 1));
  g_strfreev (lines);
  return value;
}

/* Reads chunks; returns whether the last one was read.  */
static bool
read_chunks (GString *body, const char *bytes, const char *end)
{
  for (;;)
    {
      const char *line = memmem (bytes, (size_t)(end - bytes), "\r\n", 2);
      if (!line)
        return false;
      size_t size = strtoul (bytes, NULL, 16);
      bytes = line + 2;
      if (!size)
        return end - bytes >= 2 && memcmp (bytes, "\r\n", 2) == 0;
      size_t there = MIN (size, (size_t)(end - bytes));
      g_string_append_len (body, bytes, (gssize)there);
      if ((size_t)(end - bytes) < size + 2)
        return false;
      bytes += size + 2;
    }
}

/* Reads the answer in IN; ENDED: its connection has ended with FIN.  */
static void
read_answer (byte_view_t *view, const GString *in, bool ended)
{
  const char *blank = strstr (in->str, "\r\n\r\n");
  if (!g_str_has_prefix (in->str, "HTTP/1.") || !blank)
    return;
  view->answered = true;
  view->status = atoi (in->str + 9);
  g_string_append_len (view->head, in->str, blank - in->str);
  const char *bytes = blank + 4;
  const char *end = in->str + in->len;
  char *length = byte_view_header (view, "Content-Length");
  char *coding = byte_view_header (view, "Transfer-Encoding");
  if (coding)
    view->complete = read_chunks (view->body, bytes, end);
  else
    {
      g_string_append_len (view->body, bytes, end - bytes);
      view->complete
          = length ? view->body->len >= strtoul (length, NULL, 10) : ended;
    }
  view->marked = view->complete && (coding || length);
  g_free (length);
  g_free (coding);
}

static void
end_call (byte_call_t *call, byte_view_t *view)
{
  call->fn (call->data, view);
  g_string_free (view->head, TRUE);
  g_string_free (view->body, TRUE);
  ev_io_stop (call->loop, &call->io);
  ev_timer_stop (call->loop, &call->timer);
  close (call->io.fd);
  g_string_free (call->in, TRUE);
  g_free (call->request);
  g_free (call);
}

static void
on_bytes (struct ev_loop *loop, ev_io *io, int events)
{
  (void)loop;
  byte_call_t *call = io->data;
  char bytes[16384];
  if (events & EV_WRITE)
    {
      (void)send (io->fd, call->request, strlen (call->request), MSG_NOSIGNAL);
      ev_io_stop (loop, io);
      ev_io_set (io, io->fd, EV_READ);
      ev_io_start (loop, io);
      return;
    }
  ssize_t size = recv (io->fd, bytes, sizeof bytes, 0);
  if (size > 0)
    g_string_append_len (call->in, bytes, size);
  byte_view_t view
      = { .head = g_string_new (NULL), .body = g_string_new (NULL) };
  read_answer (&view, call->in, size == 0);
  if (size <= 0 || view.complete)
    {
      end_call (call, &view);
      return;
    }
  g_string_free (view.head, TRUE);
  g_string_free (view.body, TRUE);
}

static void
on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)loop;
  (void)events;
  byte_call_t *call = timer->data;
  byte_view_t view = { .head = g_string_new (NULL),
                       .body = g_string_new (NULL),
                       .timed_out = true };
  read_answer (&view, call->in, false);
  end_call (call, &view);
}

void
byte_call_start (struct ev_loop *loop, const char *address, const char *target,
                 const char *id, const byte_caller_t *caller,
                 byte_call_fn_t fn, void *data)
{
  const char *colon = strrchr (address, ':');
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_port = htons ((in_port_t)atoi (colon + 1)),
                            .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  byte_call_t *call = g_new0 (byte_call_t, 1);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  (void)connect (fd, (const struct sockaddr *)&in, sizeof in);
  call->loop = loop;
  call->in = g_string_new (NULL);
  call->fn = fn;
  call->data = data;
  call->request = g_strdup_printf (
      "POST %s HTTP/%s\r\nHost: h.example\r\nX-Request-Id: %s\r\n"
      "X-Deadline-Ms: %d\r\n%s%s%sContent-Length: 2\r\n\r\nhi",
      target, caller->version, id, caller->deadline_ms,
      caller->connection ? "Connection: " : "",
      caller->connection ? caller->connection : "",
      caller->connection ? "\r\n" : "");
  ev_io_init (&call->io, on_bytes, fd, EV_WRITE);
  call->io.data = call;
  ev_io_start (loop, &call->io);
  ev_now_update (loop);
  ev_timer_init (&call->timer, on_limit, caller->limit_s, 0.0);
  call->timer.data = call;
  ev_timer_start (loop, &call->timer);
}
