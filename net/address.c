#include "address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netdb.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static bool
read_port (const char *text, in_port_t *port)
{
  size_t length = strspn (text, "0123456789");
  if (length == 0 || length > 5 || text[length])
    return false;
  long value = strtol (text, NULL, 10);
  if (value > 65535)
    return false;
  *port = htons ((uint16_t)value);
  return true;
}

bool
address_read (const char *text, address_t *address)
{
  memset (address, 0, sizeof *address);
  const char *colon = text ? strrchr (text, ':') : NULL;
  char ip[INET6_ADDRSTRLEN];
  if (!colon)
    return false;
  const char *begin = text;
  const char *end = colon;
  bool six = *text == '[';
  if (six)
    {
      begin++;
      if (end <= begin || *--end != ']')
        return false;
    }
  size_t length = (size_t)(end - begin);
  if (length == 0 || length >= sizeof ip)
    return false;
  memcpy (ip, begin, length);
  ip[length] = 0;
  if (six)
    {
      struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&address->storage;
      in6->sin6_family = AF_INET6;
      address->size = sizeof *in6;
      return inet_pton (AF_INET6, ip, &in6->sin6_addr) == 1
             && read_port (colon + 1, &in6->sin6_port);
    }
  struct sockaddr_in *in = (struct sockaddr_in *)&address->storage;
  in->sin_family = AF_INET;
  address->size = sizeof *in;
  return inet_pton (AF_INET, ip, &in->sin_addr) == 1
         && read_port (colon + 1, &in->sin_port);
}

int
address_port (const address_t *address)
{
  if (address->storage.ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)&address->storage)->sin6_port);
  return ntohs (((const struct sockaddr_in *)&address->storage)->sin_port);
}

void
address_ip (const address_t *address, char *buffer, size_t size)
{
  if (getnameinfo ((const struct sockaddr *)&address->storage, address->size,
                   buffer, (socklen_t)size, NULL, 0, NI_NUMERICHOST))
    buffer[0] = 0;
}

char *
address_replace_port (const char *address, int port)
{
  const char *colon = strrchr (address, ':');
  if (!colon || strcmp (colon, ":0") != 0)
    return g_strdup (address);
  return g_strdup_printf ("%.*s:%d", (int)(colon - address), address, port);
}
