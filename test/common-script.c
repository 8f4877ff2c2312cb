#include "common-script.h"

#include <string.h>
#include <sys/socket.h>

/* Scripts that write a fixed text and may close the connection.  */
static const struct
{
  const char *name;
  const char *answer;
  bool close;
} texts[] = {
  { "close", "", true },
  { "short", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nab", true },
  { "short-chunk",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n",
    true },
  { "undelimited", "HTTP/1.1 200 OK\r\n\r\nhel", true },
  { "head", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n", false },
  { "stall", "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nab", false },
  { "stream",
    "HTTP/1.1 201 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n3\r\nab\n\r\n3\r\ncd\n\r\n"
    "0\r\n\r\n",
    false },
  { "redirect",
    "HTTP/1.1 302 Found\r\nLocation: /other\r\n"
    "Content-Length: 0\r\n\r\n",
    false },
};

static void
serve_large (connection_t *connection, const char *script)
{
  char *text = g_strnfill (5000, 'x');
  if (strcmp (script, "large") == 0)
    connection_reply (connection, 200, text);
  else if (strcmp (script, "large-chunk") == 0)
    connection_print (connection,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                      "\r\n\r\n1388\r\n%s\r\n0\r\n\r\n",
                      text);
  else
    {
      connection_print (connection, "HTTP/1.1 200 OK\r\n");
      for (int i = 0; i < 1000; i++)
        connection_print (connection, "X-Padding-%d: %0100d\r\n", i, i);
    }
  g_free (text);
}

void
script_serve (connection_t *connection, const char *script)
{
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    if (strcmp (script, texts[i].name) == 0)
      {
        connection_print (connection, "%s", texts[i].answer);
        connection->closing = texts[i].close;
      }
  if (strcmp (script, "header") == 0)
    connection_print (connection, "HTTP/1.1 200 OK\r\nX-Test: a b\r\n"
                                  "Content-Length: 2\r\n\r\nok");
  else if (strcmp (script, "ok") == 0)
    connection_reply (connection, 200, "hello");
  else if (strcmp (script, "number") == 0)
    {
      char text[16];
      g_snprintf (text, sizeof text, "n%d", connection->listener->requests);
      connection_reply (connection, 200, text);
    }
  else if (strcmp (script, "late-copy") == 0)
    {
      /* The last answer on this connection once more, then the new one.  */
      char text[16];
      int number = connection->listener->requests;
      for (int i = connection->requests > 1 ? number - 1 : number; i <= number;
           i++)
        {
          g_snprintf (text, sizeof text, "n%d", i);
          connection_reply (connection, 200, text);
        }
    }
  else if (strcmp (script, "twice") == 0)
    {
      connection_reply (connection, 200, "one");
      connection_reply (connection, 200, "stray");
    }
  else if (g_str_has_prefix (script, "large"))
    serve_large (connection, script);
  else if (g_str_has_prefix (script, "then-"))
    {
      if (connection->requests == 1)
        {
          connection_reply (connection, 200, "first");
          return;
        }
      connection_close (connection);
      if (strcmp (script, "then-exit") == 0)
        {
          ev_io_stop (connection->listener->loop, &connection->listener->io);
          shutdown (connection->listener->io.fd, SHUT_RDWR);
        }
    }
}
