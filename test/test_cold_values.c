/* What entries and answers of backend servers say of being cold.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "platform/platform-internal.h"
#include "platform/platform.h"

/* Guards against an invalid value that is taken for a time, or that costs the
   rest of the entry.  */
static void
invalid_value_counts_as_a_time (void **state)
{
  (void)state;
  static const struct
  {
    const char *value;
    kwf_cold_word_t word;
    int64_t left_ms;
  } cases[] = {
    { "0", KWF_COLD_TOLD, 0 },           { "2500", KWF_COLD_TOLD, 2500 },
    { "600000", KWF_COLD_TOLD, 600000 }, { "600001", KWF_COLD_UNREADABLE, 0 },
    { "-1", KWF_COLD_UNREADABLE, 0 },    { "1e300", KWF_COLD_UNREADABLE, 0 },
    { "\"7\"", KWF_COLD_UNREADABLE, 0 }, { "null", KWF_COLD_UNREADABLE, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char *text = g_strdup_printf (
          "{\"backend\":\"desk\",\"address\":\"127.0.0.1:80\","
          "\"state\":\"ready\",\"zone\":\"c0\",\"slots\":6,"
          "\"cold_left_ms\":%s}",
          cases[i].value);
      server_entry_t *entry = server_entry_decode (text);
      assert_non_null (entry);
      assert_int_equal (entry->cold, cases[i].word);
      assert_int_equal (entry->cold_left_ns, cases[i].left_ms * KWF_NS_PER_MS);
      server_entry_free (entry);
      g_free (text);
      const header_t header = { "X-Cold-Ms", cases[i].value };
      client_answer_t answer
          = { .status = 200, .headers = &header, .n_headers = 1 };
      kwf_notice_event_t notice = { 0 };
      assert_true (rows_protocol.read_notice (&notice, &answer));
      assert_int_equal (notice.cold, cases[i].word);
      assert_int_equal (notice.cold_left_ns, cases[i].left_ms * KWF_NS_PER_MS);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_value_counts_as_a_time),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
