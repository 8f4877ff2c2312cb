/* Suspensions: keys that are refused while the outcome of their withdrawal is
   unknown.  */

#include "config-data.h"

#include <string.h>

bool
config_is_digest (const char *text)
{
  if (!text || strlen (text) != KEY_DIGEST_SIZE - 1)
    return false;
  for (; *text; text++)
    if (!g_ascii_isdigit (*text) && !(*text >= 'a' && *text <= 'f'))
      return false;
  return true;
}

static void
clear_suspension (void *data)
{
  suspension_t *suspension = data;
  g_free (suspension->instance);
}

void
config_suspend (config_t *config, const char *digest, const char *instance,
                int64_t until_ns)
{
  GArray *list = g_hash_table_lookup (config->suspended, digest);
  if (!list)
    {
      if (g_hash_table_size (config->suspended) >= CONFIG_MAX_SUSPENDED)
        return;
      list = g_array_new (FALSE, FALSE, sizeof (suspension_t));
      g_array_set_clear_func (list, clear_suspension);
      g_hash_table_insert (config->suspended, g_strdup (digest), list);
    }
  config->generation++;
  for (guint i = 0; i < list->len; i++)
    {
      suspension_t *suspension = &g_array_index (list, suspension_t, i);
      if (strcmp (suspension->instance, instance) == 0)
        {
          suspension->until_ns = until_ns;
          return;
        }
    }
  suspension_t added
      = { .instance = g_strdup (instance), .until_ns = until_ns };
  g_array_append_val (list, added);
}

void
config_lift_suspension (config_t *config, const char *digest,
                        const char *instance)
{
  GArray *list = g_hash_table_lookup (config->suspended, digest);
  for (guint i = 0; list && i < list->len; i++)
    if (strcmp (g_array_index (list, suspension_t, i).instance, instance) == 0)
      {
        g_array_remove_index_fast (list, i);
        break;
      }
  if (list && !list->len)
    g_hash_table_remove (config->suspended, digest);
  config->generation++;
}

/* Called only when new rows have just been read.  Before that, a withdrawal
   may have taken effect unseen, for example during a platform outage.  */
void
config_expire_suspensions (config_t *config, kwf_effects_t *effects)
{
  int64_t now = kwf_now_ns (config->clock);
  GHashTableIter iter;
  gpointer digest;
  gpointer value;
  g_hash_table_iter_init (&iter, config->suspended);
  while (g_hash_table_iter_next (&iter, &digest, &value))
    {
      GArray *list = value;
      for (guint i = list->len; i-- > 0;)
        if (g_array_index (list, suspension_t, i).until_ns <= now)
          g_array_remove_index_fast (list, i);
      if (list->len)
        continue;
      kwf_effects_log (effects, 411, KWF_LOG_INFO, NULL,
                       "suspension of key %.16s has ended: no withdrawal "
                       "took effect",
                       (const char *)digest);
      g_hash_table_iter_remove (&iter);
      config->generation++;
    }
}
