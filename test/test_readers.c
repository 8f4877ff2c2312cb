/* Readers of foreign bytes: time and memory are bounded, and no mutation of
   good input ends the process or hides what stands beside it.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <cmocka.h>

#include <knapweedfork/clock.h>

#include "lib/claim-row.h"
#include "platform/platform-internal.h"
#include "platform/platform.h"
#include "readers-fuzz.h"
#include "readers-mutate.h"

/* A value in the store has at most so many bytes.  */
#define ROW_BYTES 65536
/* Time that reading one may take, also in a sanitizer build.  */
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

/* Numbers that do not fit the type of a field, or make no sense in it.  */
static const char *const extremes[] = { "1e308",
                                        "-1e308",
                                        "1e19",
                                        "9223372036854775807",
                                        "-9223372036854775808",
                                        "4294967296",
                                        "2147483648",
                                        "-1" };

/* Guards against numbers of a configuration that are converted to a type that
   they do not fit, and against a count that takes all memory.  */
static void
extreme_numbers_of_a_configuration_are_bounded (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (extremes); i++)
    {
      const char *n = extremes[i];
      char *text = g_strdup_printf (
          "{\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"path_prefix\":"
          "\"/\",\"backend\":\"s\",\"timeout_ms\":%s,\"target_latency_ms\":%s,"
          "\"max_attempts\":%s,\"priority\":%s}],\"services\":[{\"name\":"
          "\"s\","
          "\"engine\":{\"weights_mb\":%s,\"adapter_slots\":%s,\"loads_per_s\":"
          "%s,\"models\":[{\"name\":\"m\",\"weights_mb\":%s,\"load_s\":%s,"
          "\"adapters\":%s}]}}],\"tenants\":[{\"name\":\"o\",\"rate_per_s\":%"
          "s,"
          "\"burst\":%s,\"plain_tokens\":%s,\"priority\":%s}]}",
          n, n, n, n, n, n, n, n, n, n, n, n, n, n);
      platform_config_t config;
      assert_true (platform_config_decode (text, "p", &config));
      const kwf_route_t *route = kwf_lists_route (config.lists, "h", "/");
      const kwf_model_t *model = kwf_lists_model (config.lists, "m");
      const kwf_service_t *service = kwf_lists_service (config.lists, "s");
      const kwf_organisation_t *organisation
          = kwf_lists_organisation (config.lists, "o");
      print_message ("%s: time-out %lld ns, %d attempts, %zu adapters\n", n,
                     (long long)route->timeout_ns, route->max_attempts,
                     model->n_adapters);
      assert_in_range (route->timeout_ns, 0, INT64_MAX / 2);
      assert_in_range (route->objective_ns, 0, INT64_MAX / 2);
      assert_in_range (route->max_attempts, 1, 1000);
      assert_in_range (route->priority, 0, 9);
      assert_in_range (model->memory_mb, 0, INT64_MAX / 1000);
      assert_in_range (model->load_ns, 0, INT64_MAX / 2);
      assert_in_range (model->n_adapters, 0, 10000);
      assert_in_range (service->memory_mb, 0, INT64_MAX / 1000);
      assert_in_range (service->adapter_slots, 0, 10000);
      assert_true (service->loads_per_s >= 0);
      assert_true (organisation->rate >= 0 && organisation->burst >= 0
                   && organisation->plain_tokens >= 0);
      platform_config_clear (&config);
      g_free (text);
    }
}

/* Guards against a report that is read although it lacks the list of models or
   has numbers that make no sense: the engine would count as one without
   models.  */
static void
odd_reports_are_none (void **state)
{
  (void)state;
  static const char *const bad[] = {
    "{}",
    "{\"models\":{}}",
    "{\"models\":null}",
    "{\"models\":[7]}",
    "{\"models\":[{\"adapters\":[]}]}",
    "{\"models\":[],\"models\":[]}",
    "{\"models\":[],\"running\":\"x\"}",
    "{\"models\":[],\"running\":-1}",
    "{\"models\":[],\"running\":2147483648}",
    "{\"models\":[],\"queued\":1e30}",
    "{\"models\":[],\"seq\":-1}",
    "{\"models\":[],\"seq\":1e300}",
    "{\"models\":[],\"born\":\"now\"}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      client_answer_t answer
          = { .status = 200, .body = bad[i], .body_size = strlen (bad[i]) };
      kwf_report_event_t report = { 0 };
      GPtrArray *allocations = g_ptr_array_new_with_free_func (g_free);
      if (rows_protocol.read_report (&report, allocations, &answer))
        fail_msg ("%s is read", bad[i]);
      g_ptr_array_free (allocations, TRUE);
    }
}

/* Guards against a kept answer that is given to a caller although it is not
   whole: without a status or type, or with a body cut inside its base64.  */
static void
odd_kept_answers_are_none (void **state)
{
  (void)state;
  static const char *const bad[]
      = { "\"status\":0,\"content_type\":\"t\",\"body\":\"dg==\"",
          "\"content_type\":\"t\",\"body\":\"dg==\"",
          "\"status\":4294967496,\"content_type\":\"t\",\"body\":\"dg==\"",
          "\"status\":200,\"body\":\"dg==\"",
          "\"status\":200,\"content_type\":\"t\"",
          "\"status\":200,\"content_type\":\"t\",\"body\":\"dg\"",
          "\"status\":200,\"content_type\":\"t\",\"body\":\"d%g==\"" };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *text = g_strdup_printf ("{\"claim\":\"0a\",\"instance\":\"i1\","
                                    "\"incarnation\":3,\"state\":\"done\","
                                    "\"at_ms\":5,%s}",
                                    bad[i]);
      claim_row_t row;
      if (claim_row_read (text, &row))
        fail_msg ("%s is read", bad[i]);
      g_free (text);
    }
}

/* Guards against a load that is no number of requests: one that does not fit
   an int became any other number.  */
static void
odd_loads_are_none (void **state)
{
  (void)state;
  static const char *const bad[] = { "99999999999,0,8",
                                     "0,99999999999999999999999,8",
                                     "0,0,4294967300",
                                     "-1,0,8",
                                     "0,-1,8",
                                     "0,0,-8",
                                     " 1,0,8",
                                     "+1,0,8",
                                     "1, 0,8",
                                     "0x1,0,8",
                                     "1.5,0,8",
                                     "1,0,",
                                     ",,",
                                     "1,0",
                                     "1,0,8;9",
                                     "1,0,8 " };
  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      header_t header = { "X-Server-Load", bad[i] };
      client_answer_t answer
          = { .status = 200, .headers = &header, .n_headers = 1 };
      answer_facts_t facts = { 0 };
      rows_protocol.read_facts (&facts, &answer);
      if (facts.has_load)
        fail_msg ("\"%s\" is read as %d,%d,%d", bad[i], facts.running,
                  facts.waiting, facts.slots);
    }
}

/* Guards against a limit that is infinite: no message can carry it, so the
   instances would not agree on it.  */
static void
infinite_limit_is_unreadable (void **state)
{
  (void)state;
  header_t header = { "Server-Limit", "1e400" };
  client_answer_t answer
      = { .status = 200, .headers = &header, .n_headers = 1 };
  kwf_notice_event_t notice = { 0 };
  assert_true (rows_protocol.read_notice (&notice, &answer));
  assert_int_equal (notice.limit, KWF_LIMIT_UNREADABLE);
}

/* Mutations of each reader's input: KWF_FUZZ_CASES, else this number.  */
#define CASES 4000
/* KWF_SEED, else this number.  */
#define SEED 30

static struct
{
  char text[120]; /* a line that names it, for the signal handler */
  uint64_t seed;
  bool is_open; /* it has not been read to its end */
} current;      /* the mutation that is read */

static uint64_t
number_of (const char *name, uint64_t fallback)
{
  const char *text = g_getenv (name);
  return text ? g_ascii_strtoull (text, NULL, 10) : fallback;
}

static void
print_current (void)
{
  ssize_t done = write (STDERR_FILENO, current.text, sizeof current.text);
  (void)done;
}

static void
on_fatal_signal (int number)
{
  print_current ();
  signal (number, SIG_DFL);
  raise (number);
}

static int
begin_mutations (void **state)
{
  (void)state;
  static const int fatal[] = { SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGTRAP };
  for (size_t i = 0; i < G_N_ELEMENTS (fatal); i++)
    signal (fatal[i], on_fatal_signal);
  current.seed = number_of ("KWF_SEED", SEED);
  return 0;
}

static int
end_mutations (void **state)
{
  (void)state;
  if (current.is_open)
    print_current ();
  current.is_open = false;
  return 0;
}

/* A generator of its own for each case, so that its mutation does not depend
   on the number of cases before it.  */
static GRand *
begin_case (const char *reader, uint64_t number)
{
  memset (current.text, ' ', sizeof current.text);
  int size = g_snprintf (
      current.text, sizeof current.text, "%s: KWF_SEED=%llu, case %llu",
      reader, (unsigned long long)current.seed, (unsigned long long)number);
  current.text[size] = ' ';
  current.text[sizeof current.text - 1] = '\n';
  current.is_open = true;
  guint32 seeds[] = { (guint32)current.seed, (guint32)number };
  return g_rand_new_with_seed_array (seeds, G_N_ELEMENTS (seeds));
}

static void
read_in_time (void (*read) (const GString *text), const GString *text)
{
  int64_t began_ns = kwf_now_ns (kwf_clock_system ());
  read (text);
  int64_t took_ns = kwf_now_ns (kwf_clock_system ()) - began_ns;
  if (took_ns > MAX_READ_NS)
    fail_msg ("it took %d ms", (int)(took_ns / KWF_NS_PER_MS));
  current.is_open = false;
}

static void
read_json_cases (const reader_t *reader, uint64_t cases)
{
  size_t n = g_strv_length ((char **)reader->samples);
  for (uint64_t i = 0; i < cases; i++)
    {
      GRand *random = begin_case (reader->name, i);
      GString *text = g_string_new (reader->samples[i % n]);
      GString *other = g_string_new (
          reader->samples[g_rand_int_range (random, 0, (gint32)n)]);
      if (g_rand_boolean (random))
        mutate (random, text, other);
      else
        mutate_json (random, text);
      read_in_time (reader->read, text);
      g_string_free (other, TRUE);
      g_string_free (text, TRUE);
      g_rand_free (random);
    }
}

/* Guards against input that ends the process, takes long, or hides the rows
   beside it.  */
static void
mutated_texts_are_survived (void **state)
{
  (void)state;
  uint64_t cases = number_of ("KWF_FUZZ_CASES", CASES);
  for (size_t i = 0; i < n_json_readers; i++)
    {
      read_json_cases (&json_readers[i], cases);
      print_message ("%s: %llu mutations\n", json_readers[i].name,
                     (unsigned long long)cases);
    }
}

static void
mutated_frames_are_survived (void **state)
{
  (void)state;
  uint64_t cases = number_of ("KWF_FUZZ_CASES", CASES);
  GPtrArray *frames = frame_samples ();
  for (uint64_t i = 0; i < cases; i++)
    {
      GRand *random = begin_case ("frames", i);
      const GString *sample = frames->pdata[i % frames->len];
      const GString *other
          = frames->pdata[g_rand_int_range (random, 0, (gint32)frames->len)];
      GString *text = g_string_new_len (sample->str, (gssize)sample->len);
      mutate (random, text, other);
      read_in_time (frame_read, text);
      g_string_free (text, TRUE);
      g_rand_free (random);
    }
  g_ptr_array_unref (frames);
  print_message ("frames: %llu mutations\n", (unsigned long long)cases);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (many_coming_adapters_are_read_in_time),
    cmocka_unit_test (odd_reports_are_none),
    cmocka_unit_test (odd_kept_answers_are_none),
    cmocka_unit_test (odd_loads_are_none),
    cmocka_unit_test (infinite_limit_is_unreadable),
    cmocka_unit_test (extreme_numbers_of_a_configuration_are_bounded),
    cmocka_unit_test_setup_teardown (mutated_texts_are_survived,
                                     begin_mutations, end_mutations),
    cmocka_unit_test_setup_teardown (mutated_frames_are_survived,
                                     begin_mutations, end_mutations),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
