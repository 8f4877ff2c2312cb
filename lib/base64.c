#include "base64.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

char *
base64_decode (const char *text, size_t *size)
{
  size_t length = strlen (text);
  size_t most = length / 4 * 3;
  char *bytes = g_malloc (most + 1);
  if (sodium_base642bin ((unsigned char *)bytes, most, text, length, NULL,
                         size, NULL, sodium_base64_VARIANT_ORIGINAL)
      == 0)
    {
      bytes[*size] = '\0';
      return bytes;
    }
  g_free (bytes);
  return NULL;
}
