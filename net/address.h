/* address.h - numeric socket addresses "IP:PORT" and "[IP6]:PORT".  */

#ifndef KNAPWEEDFORK_NET_ADDRESS_H
#define KNAPWEEDFORK_NET_ADDRESS_H

#include <stdbool.h>
#include <sys/socket.h>

typedef struct
{
  struct sockaddr_storage storage;
  socklen_t size;
} address_t;

/* Reads a numeric "IP:PORT" or "[IP6]:PORT"; host names are not resolved.
   Returns false when TEXT is NULL, malformed, or its port is above 65535.  */
bool address_read (const char *text, address_t *address);

/* Port of ADDRESS in host byte order.  */
int address_port (const address_t *address);

/* Writes the IP of ADDRESS, without the port, to BUFFER of SIZE bytes; an
   empty string on failure.  */
void address_ip (const address_t *address, char *buffer, size_t size);

/* Returns ADDRESS with a port 0 replaced by PORT; release with g_free.  */
char *address_replace_port (const char *address, int port);

#endif
