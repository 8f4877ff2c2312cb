#include "nearest.h"

#include <glib.h>
#include <string.h>

#define MAX_BYTES 64
#define MAX_DISTANCE 3

size_t
nearest_distance (const char *a, const char *b)
{
  size_t n_a = strnlen (a, MAX_BYTES);
  size_t n_b = strnlen (b, MAX_BYTES);
  size_t rows[MAX_BYTES + 1][MAX_BYTES + 1];
  for (size_t i = 0; i <= n_a; i++)
    for (size_t j = 0; j <= n_b; j++)
      {
        if (i == 0 || j == 0)
          {
            rows[i][j] = i + j;
            continue;
          }
        size_t best = rows[i - 1][j - 1] + (a[i - 1] != b[j - 1]);
        best = MIN (best, MIN (rows[i - 1][j], rows[i][j - 1]) + 1);
        if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
          best = MIN (best, rows[i - 2][j - 2] + 1);
        rows[i][j] = best;
      }
  return rows[n_a][n_b];
}

const char *
nearest_name (const char *name, const char *const *names, size_t n_names)
{
  /* Only a name at a distance less than BELOW is returned.  */
  size_t below = MIN (MAX (strlen (name) / 3, 1), MAX_DISTANCE) + 1;
  const char *found = NULL;
  for (size_t i = 0; i < n_names; i++)
    {
      size_t distance = nearest_distance (name, names[i]);
      if (distance < below)
        {
          below = distance;
          found = names[i];
        }
    }
  return found;
}
