#include <knapweedfork/effect.h>

#include <glib.h>
#include <stdarg.h>
#include <string.h>

struct kwf_effects
{
  GArray *items;     /* array of kwf_effect_t */
  GPtrArray *memory; /* blocks that kwf_effects_clear frees */
};

kwf_effects_t *
kwf_effects_new (void)
{
  kwf_effects_t *effects = g_new (kwf_effects_t, 1);
  effects->items = g_array_new (FALSE, TRUE, sizeof (kwf_effect_t));
  effects->memory = g_ptr_array_new_with_free_func (g_free);
  return effects;
}

void
kwf_effects_free (kwf_effects_t *effects)
{
  if (!effects)
    return;
  g_array_free (effects->items, TRUE);
  g_ptr_array_free (effects->memory, TRUE);
  g_free (effects);
}

void
kwf_effects_clear (kwf_effects_t *effects)
{
  g_array_set_size (effects->items, 0);
  g_ptr_array_set_size (effects->memory, 0);
}

size_t
kwf_effects_count (const kwf_effects_t *effects)
{
  return effects->items->len;
}

const kwf_effect_t *
kwf_effects_at (const kwf_effects_t *effects, size_t i)
{
  return &g_array_index (effects->items, kwf_effect_t, i);
}

kwf_effect_t *
kwf_effects_add (kwf_effects_t *effects, kwf_effect_type_t type)
{
  guint last = effects->items->len;
  g_array_set_size (effects->items, last + 1);
  kwf_effect_t *effect = &g_array_index (effects->items, kwf_effect_t, last);
  effect->type = type;
  return effect;
}

void *
kwf_effects_alloc (kwf_effects_t *effects, size_t size)
{
  void *block = g_malloc0 (size);
  g_ptr_array_add (effects->memory, block);
  return block;
}

char *
kwf_effects_strdup (kwf_effects_t *effects, const char *text)
{
  if (!text)
    return NULL;
  char *copy = g_strdup (text);
  g_ptr_array_add (effects->memory, copy);
  return copy;
}

char *
kwf_effects_printf (kwf_effects_t *effects, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (effects->memory, text);
  return text;
}

void
kwf_effects_log (kwf_effects_t *effects, int number, kwf_log_level_t level,
                 const char *request_id, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (effects->memory, text);
  char *id = kwf_effects_strdup (effects, request_id);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_LOG);
  effect->log = (kwf_log_t){
    .number = number, .level = level, .request_id = id, .text = text
  };
}
