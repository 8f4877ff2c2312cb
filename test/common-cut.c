#include "common-cut.h"

#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/* The inode of the socket from FROM to TO, as the kernel's socket diagnosis
   tells it; 0: there is none.  A read of /proc/net/tcp takes far longer.  */
static unsigned long
find_inode (const struct sockaddr_in *from, const struct sockaddr_in *to)
{
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_req_v2 request;
  } question
      = { .head = { .nlmsg_len = sizeof question,
                    .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                    .nlmsg_flags = NLM_F_REQUEST },
          .request = { .sdiag_family = AF_INET,
                       .sdiag_protocol = IPPROTO_TCP,
                       .idiag_states = ~0U,
                       .id = { .idiag_sport = from->sin_port,
                               .idiag_dport = to->sin_port,
                               .idiag_src = { from->sin_addr.s_addr },
                               .idiag_dst = { to->sin_addr.s_addr },
                               .idiag_cookie = { INET_DIAG_NOCOOKIE,
                                                 INET_DIAG_NOCOOKIE } } } };
  struct
  {
    struct nlmsghdr head;
    struct inet_diag_msg message;
    char rest[4096];
  } answer = { 0 };
  int fd = socket (AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  if (fd < 0 || send (fd, &question, sizeof question, 0) < 0
      || recv (fd, &answer, sizeof answer, 0) < 0)
    g_error ("no diagnosis of sockets");
  close (fd);
  return answer.head.nlmsg_type == SOCK_DIAG_BY_FAMILY
             ? answer.message.idiag_inode
             : 0;
}

/* The inode of the socket at the other end of FD, a connection on loopback;
   0: it has ended.  */
static unsigned long
other_end (int fd)
{
  struct sockaddr_in here = { 0 };
  struct sockaddr_in there = { 0 };
  socklen_t size = sizeof here;
  if (getsockname (fd, (struct sockaddr *)&here, &size)
      || getpeername (fd, (struct sockaddr *)&there, &size))
    return 0;
  return find_inode (&there, &here);
}

static bool
has_socket (pid_t pid, unsigned long inode)
{
  char *folder = g_strdup_printf ("/proc/%d/fd", (int)pid);
  char *wanted = g_strdup_printf ("socket:[%lu]", inode);
  GDir *directory = g_dir_open (folder, 0, NULL);
  bool found = false;
  const char *name;
  while (directory && !found && (name = g_dir_read_name (directory)))
    {
      char *path = g_build_filename (folder, name, NULL);
      char *target = g_file_read_link (path, NULL);
      found = g_strcmp0 (target, wanted) == 0;
      g_free (target);
      g_free (path);
    }
  if (directory)
    g_dir_close (directory);
  g_free (wanted);
  g_free (folder);
  return found;
}

/* Whether the other end of FD is of a process of CUT.  */
static bool
is_cut_off (const cut_t *cut, int fd)
{
  unsigned long inode = other_end (fd);
  for (int i = 0; inode && i < cut->n; i++)
    if (has_socket (cut->pids[i], inode))
      return true;
  return false;
}

bool
cut_accept (const cut_t *cut, int fd, bool *held)
{
  *held = false;
  if (!is_cut_off (cut, fd))
    return true;
  *held = cut->kind == CUT_HANGS;
  return *held;
}

void
cut_begin (const cut_t *cut, listener_t *listener)
{
  listener->cut = cut;
  for (guint i = listener->open->len; i-- > 0 && cut->kind != CUT_REFUSES;)
    {
      connection_t *connection = listener->open->pdata[i];
      if (!is_cut_off (cut, connection->io.fd))
        continue;
      if (cut->kind == CUT_HANGS)
        connection_hold (connection, true);
      else
        connection_reset (connection);
    }
}

void
cut_end (listener_t *listener)
{
  listener->cut = NULL;
  for (guint i = 0; i < listener->open->len; i++)
    connection_hold (listener->open->pdata[i], false);
}
