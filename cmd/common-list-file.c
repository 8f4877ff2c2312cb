/* Files of the two lists, with the version they were edited from.  */

#include "common-operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define VERSION_PREFIX "# version "

bool
list_file_read (const char *path, list_file_t *file)
{
  *file = (list_file_t){ .version = -1 };
  GError *error = NULL;
  gsize size = 0;
  if (!g_file_get_contents (path, &file->whole, &size, &error))
    {
      fprintf (stderr, "knapweedfork: %s\n", error->message);
      g_error_free (error);
      return false;
    }
  if (strlen (file->whole) != size)
    {
      fprintf (stderr, "knapweedfork: %s: contains a zero byte\n", path);
      list_file_clear (file);
      return false;
    }
  const char *text = file->whole;
  if (g_str_has_prefix (text, VERSION_PREFIX))
    {
      char *end;
      gint64 version
          = g_ascii_strtoll (text + strlen (VERSION_PREFIX), &end, 10);
      if (version >= 0 && end > text + strlen (VERSION_PREFIX)
          && (*end == '\n' || *end == '\0'))
        {
          file->version = version;
          text = *end ? end + 1 : end;
        }
    }
  file->text = g_strdup (text);
  return true;
}

void
list_file_clear (list_file_t *file)
{
  g_free (file->text);
  g_free (file->whole);
  *file = (list_file_t){ .version = -1 };
}
