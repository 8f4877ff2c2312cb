/* Reading completion requests and making the body for the engine.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>

#include "lib/completion.h"

#define CHAT_BODY                                                             \
  "{\"model\":\"m1:a1\",\"stream\":true,\"max_tokens\":9,"                    \
  "\"temperature\":0.7,\"messages\":[{\"role\":\"user\","                     \
  "\"content\":\"12345\"}]}"

static kwf_status_t
parse (const char *body, bool chat, completion_t *completion)
{
  kwf_error_t error;
  kwf_status_t status
      = completion_parse (body, strlen (body), chat, completion, &error);
  if (status != KWF_OK)
    {
      assert_int_equal (error.status, status);
      assert_string_not_equal (error.message, "");
      assert_null (completion->model);
    }
  return status;
}

static void
assert_invalid (const char *body, bool chat)
{
  completion_t completion;
  assert_int_equal (parse (body, chat, &completion), KWF_INVALID);
}

/* Guards against wrong fields of a chat request.  */
static void
chat_request_is_read (void **state)
{
  (void)state;
  completion_t completion;
  assert_int_equal (parse (CHAT_BODY, true, &completion), KWF_OK);
  assert_string_equal (completion.model, "m1");
  assert_string_equal (completion.adapter, "a1");
  assert_true (completion.stream);
  assert_int_equal (completion.max_tokens, 9);
  assert_int_equal (completion.prompt_tokens, 2);
  assert_true (completion.fingerprint != 0);
  assert_true (completion.prefix != 0);
  completion_clear (&completion);
}

/* Guards against wrong defaults and estimates of a text completion.  */
static void
text_request_is_read (void **state)
{
  (void)state;
  completion_t completion;
  assert_int_equal (
      parse ("{\"model\":\"m\",\"prompt\":\"12345678\"}", false, &completion),
      KWF_OK);
  assert_null (completion.adapter);
  assert_false (completion.stream);
  assert_int_equal (completion.max_tokens, 256);
  assert_int_equal (completion.prompt_tokens, 2);
  completion_clear (&completion);
  assert_int_equal (
      parse ("{\"model\":\"m\",\"prompt\":[1,2,3]}", false, &completion),
      KWF_OK);
  assert_int_equal (completion.prompt_tokens, 3);
  completion_clear (&completion);
  assert_int_equal (
      parse ("{\"model\":\"m\",\"prompt\":\"\"}", false, &completion), KWF_OK);
  assert_int_equal (completion.prompt_tokens, 1);
  completion_clear (&completion);
}

/* Guards against a model that is checked here while the engine reads another,
   against tokens that are not counted, and against a resume_from that the
   caller set.  */
static void
unsafe_requests_are_refused (void **state)
{
  (void)state;
  assert_invalid ("{\"model\":\"m\",\"model\":\"n\",\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m:a\",\"adapter\":\"b\",\"prompt\":\"x\"}",
                  false);
  assert_invalid ("{\"model\":\"m\",\"resume_from\":3,\"prompt\":\"x\"}",
                  false);
  assert_invalid ("{\"model\":\"m\",\"n\":5,\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m\",\"best_of\":2,\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m\",\"max_tokens\":-1,\"prompt\":\"x\"}",
                  false);
  assert_invalid ("{\"model\":\"m\",\"max_tokens\":1e3,\"prompt\":\"x\"}",
                  false);
  assert_invalid (
      "{\"model\":\"m\",\"max_tokens\":9000000000,\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m\",\"prompt\":[\"a\",\"b\"]}", false);
  assert_invalid ("{\"model\":\":a\",\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m:\",\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"\",\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m\",\"stream\":1,\"prompt\":\"x\"}", false);
  assert_invalid ("{\"model\":\"m\",\"prompt\":\"x\"}", true);
  assert_invalid ("{\"model\":\"m\",\"messages\":[]}", true);
  assert_invalid ("{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
                  true);
  assert_invalid ("[]", true);
  assert_invalid ("", true);
  assert_invalid ("{\"model\":\"m\\u0000x\",\"prompt\":\"x\"}", false);
}

/* Guards against equal hashes of different requests, and against prefix hashes
   that change with the end of the prompt.  */
static void
hashes_tell_requests_apart (void **state)
{
  (void)state;
  char *long_a = g_strnfill (300, 'x');
  char *body_a
      = g_strdup_printf ("{\"model\":\"m\",\"prompt\":\"%sa\"}", long_a);
  char *body_b
      = g_strdup_printf ("{\"model\":\"m\",\"prompt\":\"%sb\"}", long_a);
  char *body_c
      = g_strdup_printf ("{\"model\":\"n\",\"prompt\":\"%sa\"}", long_a);
  completion_t a;
  completion_t b;
  completion_t c;
  assert_int_equal (parse (body_a, false, &a), KWF_OK);
  assert_int_equal (parse (body_b, false, &b), KWF_OK);
  assert_int_equal (parse (body_c, false, &c), KWF_OK);
  assert_true (a.fingerprint != b.fingerprint);
  assert_true (a.prefix == b.prefix);
  assert_true (a.prefix != c.prefix);
  completion_clear (&a);
  completion_clear (&b);
  completion_clear (&c);
  g_free (long_a);
  g_free (body_a);
  g_free (body_b);
  g_free (body_c);
}

/* Guards against sending the engine a model name that it does not know, and
   against changes to other fields.  */
static void
backend_body_splits_the_model (void **state)
{
  (void)state;
  completion_t completion;
  assert_int_equal (parse (CHAT_BODY, true, &completion), KWF_OK);
  size_t size;
  char *body = completion_backend_body (CHAT_BODY, strlen (CHAT_BODY),
                                        &completion, 17, &size);
  assert_int_equal (size, strlen (body));
  json_t *sent = json_loads (body, 0, NULL);
  json_t *expected = json_loads (CHAT_BODY, 0, NULL);
  json_object_set_new (expected, "model", json_string ("m1"));
  json_object_set_new (expected, "adapter", json_string ("a1"));
  json_object_set_new (expected, "resume_from", json_integer (17));
  assert_true (json_equal (sent, expected));
  json_decref (sent);
  json_decref (expected);
  free (body);
  completion_clear (&completion);
}

/* Guards against needless changes: without an adapter or a resumption the body
   is passed on byte for byte.  */
static void
plain_body_is_unchanged (void **state)
{
  (void)state;
  static const char text[]
      = "{ \"prompt\": \"x\", \"model\":\"m\",\n\"t\":1.0}";
  completion_t completion;
  assert_int_equal (parse (text, false, &completion), KWF_OK);
  size_t size;
  char *body
      = completion_backend_body (text, strlen (text), &completion, 0, &size);
  assert_int_equal (size, strlen (text));
  assert_string_equal (body, text);
  free (body);
  completion_clear (&completion);
}

static void
try_mutation (GRand *rand, const char *seed)
{
  GString *text = g_string_new (seed);
  int edits = g_rand_int_range (rand, 1, 6);
  for (int i = 0; i < edits && text->len; i++)
    {
      gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len);
      switch (g_rand_int_range (rand, 0, 3))
        {
        case 0:
          text->str[at] = (char)g_rand_int_range (rand, 0, 256);
          break;
        case 1:
          g_string_erase (text, (gssize)at, 1);
          break;
        default:
          g_string_insert_c (text, (gssize)at,
                             "{}[]\":,\\0"[g_rand_int_range (rand, 0, 9)]);
        }
    }
  char *exact = g_memdup2 (text->str, text->len);
  completion_t completion;
  kwf_error_t error;
  bool chat = g_rand_boolean (rand);
  if (completion_parse (exact, text->len, chat, &completion, &error) == KWF_OK)
    {
      size_t size;
      char *body
          = completion_backend_body (exact, text->len, &completion, 5, &size);
      assert_non_null (body);
      free (body);
      completion_clear (&completion);
    }
  g_free (exact);
  g_string_free (text, TRUE);
}

/* Guards against crashes on malformed bodies: 20000 seeded mutations and
   deep nesting.  */
static void
mutated_bodies_do_no_harm (void **state)
{
  (void)state;
  GRand *rand = g_rand_new_with_seed (5);
  for (int i = 0; i < 20000; i++)
    try_mutation (rand, CHAT_BODY);
  g_rand_free (rand);
  char *deep = g_strnfill (1000000, '[');
  assert_invalid (deep, true);
  g_free (deep);
}

/* Guards against a parse that is too slow for 10000 requests a second; the
   bound leaves room for sanitizers and a busy machine.  */
static void
small_body_is_read_quickly (void **state)
{
  (void)state;
  enum
  {
    ROUNDS = 20000
  };
  gint64 start = g_get_monotonic_time ();
  for (int i = 0; i < ROUNDS; i++)
    {
      completion_t completion;
      assert_int_equal (completion_parse (CHAT_BODY, strlen (CHAT_BODY), true,
                                          &completion, NULL),
                        KWF_OK);
      completion_clear (&completion);
    }
  double us = (double)(g_get_monotonic_time () - start) / ROUNDS;
  print_message ("%.2f us for each small body\n", us);
  assert_true (us < 100);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (chat_request_is_read),
    cmocka_unit_test (text_request_is_read),
    cmocka_unit_test (unsafe_requests_are_refused),
    cmocka_unit_test (hashes_tell_requests_apart),
    cmocka_unit_test (backend_body_splits_the_model),
    cmocka_unit_test (plain_body_is_unchanged),
    cmocka_unit_test (mutated_bodies_do_no_harm),
    cmocka_unit_test (small_body_is_read_quickly),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
