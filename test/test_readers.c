/* Readers of foreign bytes: time and memory are bounded, and no mutation of
   good input ends the process or hides what stands beside it.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "platform/platform-internal.h"
#include "platform/platform.h"

/* A value in the store has at most so many bytes; a report more.  */
#define ROW_BYTES 65536
#define REPORT_BYTES (256 << 10)
/* Memory and time that one row or report may take, also in a sanitizer
   build.  */
#define MAX_ALLOCATIONS 200000
#define MAX_READ_NS (2 * KWF_NS_PER_S)

/* A text of SIZE bytes at most: HEAD, ITEM as often as it fits, TAIL.  */
static char *
repeat (const char *head, const char *item, const char *tail, size_t size)
{
  GString *text = g_string_new (head);
  while (text->len + strlen (item) + strlen (tail) < size)
    g_string_append (text, item);
  if (text->str[text->len - 1] == ',')
    g_string_truncate (text, text->len - 1);
  g_string_append (text, tail);
  return g_string_free (text, FALSE);
}

/* Guards against an entry or report with many adapters that are being loaded,
   whose reading took hundreds of megabytes: the list of a model's adapters was
   copied for each of them, and for each model of the same name.  */
static void
many_coming_adapters_are_read_in_time (void **state)
{
  (void)state;
  static const struct
  {
    const char *head;
    const char *item;
    const char *tail;
  } cases[] = {
    { "{\"models\":[{\"name\":\"m\"}],\"coming\":[", "\"m/a\",", "]}" },
    { "{\"coming\":[\"m/a\",\"m/a\",\"m/a\",\"m/a\",\"m/a\",\"m/a\"],"
      "\"models\":[",
      "{\"name\":\"m\"},", "]}" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text
          = repeat (cases[i].head, cases[i].item, cases[i].tail, ROW_BYTES);
      json_t *root = json_loads (text, 0, NULL);
      assert_non_null (root);
      GArray *models = g_array_new (FALSE, TRUE, sizeof (kwf_resident_t));
      GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
      int64_t began_ns = kwf_now_ns (kwf_clock_system ());
      resident_models_decode (root, models, allocations);
      size_t names = 0;
      for (guint k = 0; k < models->len; k++)
        names += g_array_index (models, kwf_resident_t, k).n_adapters;
      int64_t took_ns = kwf_now_ns (kwf_clock_system ()) - began_ns;
      print_message ("%u models, %zu adapters, %u allocations, %d ms\n",
                     models->len, names, allocations->len,
                     (int)(took_ns / KWF_NS_PER_MS));
      assert_true (took_ns < MAX_READ_NS);
      assert_true (names <= ROW_BYTES / strlen ("\"m/a\","));
      g_array_free (models, TRUE);
      g_ptr_array_free (allocations, TRUE);
      json_decref (root);
      g_free (text);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (many_coming_adapters_are_read_in_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
