/* Tests of callers' keys: generation, digests, and finding keys in other
   text.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include "lib/key.h"

static void
fill_with_byte_7 (kwf_random_t *random, void *buffer, size_t size)
{
  (void)random;
  memset (buffer, 7, size);
}

/* Keys must have the form that logs and peers recognise.  */
static void
key_has_its_form (void **state)
{
  (void)state;
  char key[KEY_TEXT_SIZE];
  char other[KEY_TEXT_SIZE];
  key_generate (kwf_random_system (), key);
  key_generate (kwf_random_system (), other);
  assert_int_equal (strlen (key), KEY_TEXT_SIZE - 1);
  assert_memory_equal (key, "kwf_", 4);
  for (const char *c = key; *c; c++)
    assert_true (g_ascii_isalnum (*c) || *c == '_' || *c == '-');
  assert_string_not_equal (key, other);
}

/* Keys must come from the random source that was passed in.  */
static void
key_comes_from_the_given_source (void **state)
{
  (void)state;
  static const kwf_random_ops_t ops = { .fill = fill_with_byte_7 };
  kwf_random_t constant_random = { .ops = &ops };
  char key[KEY_TEXT_SIZE];
  key_generate (&constant_random, key);
  assert_string_equal (key, "kwf_"
                            "BwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwcHBwc");
}

/* Digests must depend on the pepper, and peppers of any size must be
   accepted.  */
static void
digest_depends_on_key_and_pepper (void **state)
{
  (void)state;
  unsigned char pepper[200];
  memset (pepper, 'p', sizeof pepper);
  char a[KEY_DIGEST_SIZE];
  char b[KEY_DIGEST_SIZE];
  key_digest (pepper, 16, "kwf_a", a);
  key_digest (pepper, 16, "kwf_a", b);
  assert_int_equal (strlen (a), KEY_DIGEST_SIZE - 1);
  assert_string_equal (a, b);
  key_digest (pepper, 16, "kwf_b", b);
  assert_string_not_equal (a, b);
  key_digest (pepper, sizeof pepper, "kwf_a", b);
  assert_string_not_equal (a, b);
}

/* Keys must be taken from the authorization scheme Bearer only.  */
static void
authorization_header_is_read (void **state)
{
  (void)state;
  assert_string_equal (key_from_authorization ("Bearer kwf_x"), "kwf_x");
  assert_string_equal (key_from_authorization ("bearer  kwf_x"), "kwf_x");
  assert_null (key_from_authorization ("Basic kwf_x"));
  assert_null (key_from_authorization ("Bearer "));
  assert_null (key_from_authorization ("Bearer"));
  assert_null (key_from_authorization (NULL));
}

static bool
occurs (const char *text)
{
  return key_occurs ("kwf_secret", text, strlen (text));
}

/* A key must not reach a backend server in percent-encoded form.  */
static void
key_is_found_when_encoded (void **state)
{
  (void)state;
  assert_true (occurs ("kwf_secret"));
  assert_true (occurs ("/a/kwf_secret/b"));
  assert_true (occurs ("x=%6bwf_secre%74"));
  assert_true (occurs ("x=%6Bwf%5Fsecret"));
  assert_true (occurs ("x=%256bwf_secret"));
  assert_false (occurs ("kwf_secre"));
  assert_false (occurs ("%6bwf_secre%7"));
  assert_false (occurs ("%%%6"));
  assert_false (occurs (""));
  assert_false (key_occurs ("", "text", 4));
}

static void
assert_stripped (const char *query, const char *expected)
{
  char *kept = key_strip_query ("kwf_secret", query);
  assert_string_equal (kept, expected);
  g_free (kept);
}

/* A key in a query must be removed, and the other parameters kept.  */
static void
query_is_stripped (void **state)
{
  (void)state;
  assert_stripped ("a=1&key=kwf_secret&b=2", "a=1&b=2");
  assert_stripped ("key=%6bwf_secret", "");
  assert_stripped ("kwf_secret=1&&b", "&b");
  assert_stripped ("a=1&b=%20", "a=1&b=%20");
  assert_stripped ("", "");
  char *kept = key_strip_query ("a&b", "x=a&b=1");
  assert_string_equal (kept, "");
  g_free (kept);
}

/* No read beyond the end of the text, for 20000 seeded mutations.  */
static void
mutated_text_does_no_harm (void **state)
{
  (void)state;
  GRand *rand = g_rand_new_with_seed (11);
  static const char alphabet[] = "kwf_secret%25606b&=7F";
  for (int i = 0; i < 20000; i++)
    {
      size_t size = (size_t)g_rand_int_range (rand, 0, 40);
      char *text = g_malloc (size + 1);
      for (size_t j = 0; j < size; j++)
        text[j] = alphabet[g_rand_int_range (rand, 0, sizeof alphabet - 1)];
      text[size] = '\0';
      char *exact = g_memdup2 (text, size);
      key_occurs ("kwf_secret", exact, size);
      g_free (exact);
      char *kept = key_strip_query ("kwf", text);
      assert_false (key_occurs ("kwf", kept, strlen (kept)));
      g_free (kept);
      g_free (text);
    }
  g_rand_free (rand);
}

/* A key outside the Authorization header, where it is not known to be the
   caller's key, must not reach a backend server.  */
static void
finds_key_shape (void **state)
{
  (void)state;
  char key[KEY_TEXT_SIZE];
  char text[200];
  key_generate (kwf_random_system (), key);
  g_snprintf (text, sizeof text, "a=1&b=%s&c=2", key);
  assert_true (key_pattern_occurs (text, strlen (text)));
  char *stripped = key_strip_query (NULL, text);
  assert_string_equal (stripped, "a=1&c=2");
  g_free (stripped);
  g_snprintf (text, sizeof text, "%%6bwf%%5F%s", key + 4);
  assert_true (key_pattern_occurs (text, strlen (text)));
  text[strlen (text) - 1] = 0;
  assert_false (key_pattern_occurs (text, strlen (text)));
  assert_false (key_pattern_occurs ("kwf_short", 9));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (key_has_its_form),
    cmocka_unit_test (key_comes_from_the_given_source),
    cmocka_unit_test (digest_depends_on_key_and_pepper),
    cmocka_unit_test (authorization_header_is_read),
    cmocka_unit_test (key_is_found_when_encoded),
    cmocka_unit_test (query_is_stripped),
    cmocka_unit_test (mutated_text_does_no_harm),
    cmocka_unit_test (finds_key_shape),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
