#include "intake-crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  TURN_US = 1000,
  /* So that an answer waits at the daemon, not in the kernel.  */
  RECEIVE_BYTES = 4096
};

static int
connect_to (const char *address)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET,
          .sin_port
          = htons ((uint16_t)strtoul (strrchr (address, ':') + 1, NULL, 10)),
          .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  int size = RECEIVE_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (fd < 0 || connect (fd, (struct sockaddr *)&in, sizeof in) != 0)
    g_error ("no connection for a test: %s", g_strerror (errno));
  return fd;
}

/* Sends the next piece of caller I; whether that was its last.  */
static bool
send_piece (crowd_t *crowd, int i)
{
  const crowd_kind_t *kind = crowd->kind;
  size_t rest = kind->size - crowd->sent[i];
  size_t unit = MAX (strlen (kind->unit), 1);
  ssize_t n = rest
                  ? send (crowd->fds[i], crowd->block + crowd->sent[i] % unit,
                          MIN (rest, kind->piece), MSG_DONTWAIT | MSG_NOSIGNAL)
                  : 0;
  if (n < 0)
    return errno != EAGAIN;
  crowd->sent[i] += (size_t)n;
  if (crowd->sent[i] < kind->size)
    return false;
  if (kind->end && i % 8 == 0)
    send (crowd->fds[i], kind->end, strlen (kind->end),
          MSG_DONTWAIT | MSG_NOSIGNAL);
  return true;
}

static gpointer
run_crowd (gpointer data)
{
  crowd_t *crowd = data;
  bool done[CROWD_MAX] = { false };
  while (!atomic_load (&crowd->stop))
    {
      for (int i = 0; i < crowd->kind->n_callers; i++)
        {
          char byte;
          if (!done[i] && (done[i] = send_piece (crowd, i)))
            atomic_fetch_sub (&crowd->busy, 1);
          if (crowd->kind->reads_bytes)
            recv (crowd->fds[i], &byte, 1, MSG_DONTWAIT);
        }
      g_usleep (TURN_US);
    }
  return NULL;
}

void
crowd_start (crowd_t *crowd, const crowd_kind_t *kind, const char *address)
{
  static int n_requests;
  *crowd = (crowd_t){ .kind = kind };
  GString *block = g_string_new (NULL);
  while (*kind->unit && block->len < kind->piece + strlen (kind->unit))
    g_string_append (block, kind->unit);
  crowd->block = g_string_free (block, FALSE);
  for (int i = 0; i < kind->n_callers; i++)
    {
      crowd->fds[i] = connect_to (address);
      if (!kind->head)
        continue;
      char *head = g_strdup_printf ("%sX-Request-Id: c%d\r\n\r\n", kind->head,
                                    ++n_requests);
      send (crowd->fds[i], head, strlen (head), MSG_NOSIGNAL);
      g_free (head);
    }
  atomic_store (&crowd->busy, kind->n_callers);
  crowd->thread = g_thread_new ("crowd", run_crowd, crowd);
}

void
crowd_stop (crowd_t *crowd)
{
  atomic_store (&crowd->stop, true);
  g_thread_join (crowd->thread);
  for (int i = 0; i < crowd->kind->n_callers; i++)
    close (crowd->fds[i]);
  g_free (crowd->block);
}
