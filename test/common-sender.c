#include "common-sender.h"

#include <sys/socket.h>
#include <unistd.h>

#define LATE_RESET_S 0.002

/* It has a descriptor of its own, because the listener may close the
   connection meanwhile.  */
typedef struct
{
  ev_timer timer;
  int fd;
  char *bytes;
  size_t size;
  size_t sent;
  size_t piece;
  ending_t ending;
} sender_t;

static void
end_connection (int fd, ending_t ending)
{
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  if (ending == ENDING_CLOSE || ending == ENDING_CLOSE_RESET)
    shutdown (fd, SHUT_WR);
  if (ending == ENDING_RESET || ending == ENDING_CLOSE_RESET)
    /* Resets a TCP connection.  */
    (void)connect (fd, &none, sizeof none);
  close (fd);
}

static void
on_turn (struct ev_loop *loop, ev_timer *timer, int events)
{
  (void)events;
  sender_t *sender = timer->data;
  size_t left = sender->size - sender->sent;
  size_t size = sender->piece ? MIN (sender->piece, left) : left;
  if (size
      && send (sender->fd, sender->bytes + sender->sent, size, MSG_NOSIGNAL)
             < 0)
    size = left;
  sender->sent += size;
  if (sender->sent < sender->size)
    return;
  ev_timer_stop (loop, timer);
  if (sender->ending == ENDING_CLOSE_THEN_RESET)
    {
      shutdown (sender->fd, SHUT_WR);
      sender->ending = ENDING_RESET;
      ev_timer_set (timer, LATE_RESET_S, 0.0);
      ev_timer_start (loop, timer);
      return;
    }
  end_connection (sender->fd, sender->ending);
  g_free (sender->bytes);
  g_free (sender);
}

void
sender_start (connection_t *connection, const char *bytes, size_t size,
              size_t piece, ending_t ending)
{
  sender_t *sender = g_new0 (sender_t, 1);
  sender->fd = dup (connection->io.fd);
  sender->bytes = g_memdup2 (bytes, size);
  sender->size = size;
  sender->piece = piece;
  sender->ending = ending;
  /* One piece in each turn of the loop, so that it is read alone.  */
  ev_timer_init (&sender->timer, on_turn, 0.0, 1e-9);
  sender->timer.data = sender;
  ev_timer_start (connection->listener->loop, &sender->timer);
}
