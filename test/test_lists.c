/* Tests of the operators' lists: reading, findings, branches and
   differences.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include <glib.h>

#include <knapweedfork/lists.h>

#include "common-findings.h"
#include "lib/lists-diff.h"
#include "lib/nearest.h"
#include "lib/text.h"

/* The list "uses": models, services and plans.  */
#define USES_LIST                                                             \
  "[[model]]\nname = \"small\"\nversion = \"1\"\nmemory_mb = 8000\n"          \
  "adapters = [\"a1\", \"a2\"]\n"                                             \
  "[[model]]\nname = \"large\"\nversion = \"2\"\nmemory_mb = 80000\n"         \
  "adapters = [\"b1\"]\n"                                                     \
  "[[service]]\nname = \"booking\"\nonce = true\n"                            \
  "[[service]]\nname = \"status\"\nopen = true\n"                             \
  "[[plan]]\nname = \"gold\"\nrate = 1000\nburst = 5000.5\n"                  \
  "priority = \"interactive\"\nmodels = [\"small\", \"large\"]\n"             \
  "adapters = [\"small/a1\", \"large/b1\"]\nservices = [\"booking\"]\n"

/* The list "plans": organisations, each with the name of its plan.  */
#define PLANS_LIST                                                            \
  "[[organisation]]\nname = \"north\"\nplan = \"gold\"\n"                     \
  "[[organisation]]\nname = \"south\"\nplan = \"gold\"\nbranch = \"s\"\n"     \
  "rate = 10\npriority = \"overnight\"\nmodels = [\"small\"]\n"

/* Parse lists that must be valid.  */
static kwf_lists_t *
valid_lists (const char *plans, const char *uses)
{
  findings_t findings = { .n = 0 };
  kwf_lists_t *lists = kwf_lists_parse (plans, "plans", uses, "uses",
                                        findings_collect, &findings);
  if (findings.n)
    print_message ("%s:%d: %s: found %s, allowed %s\n", findings.items[0].file,
                   findings.items[0].line, findings.items[0].field,
                   findings.items[0].found, findings.items[0].allowed);
  assert_non_null (lists);
  assert_int_equal (findings.n, 0);
  return lists;
}

/* Parse lists that must have exactly one finding, and return it.  */
static kwf_finding_t
only_finding (const char *plans, const char *uses)
{
  findings_t findings = { .n = 0 };
  assert_null (kwf_lists_parse (plans, "plans", uses, "uses", findings_collect,
                                &findings));
  for (size_t i = 0; i < findings.n && findings.n != 1; i++)
    print_message ("%s:%d: %s: found %s, allowed %s\n", findings.items[i].file,
                   findings.items[i].line, findings.items[i].field,
                   findings.items[i].found, findings.items[i].allowed);
  assert_int_equal (findings.n, 1);
  return findings.items[0];
}

static void
assert_finding (const char *plans, const char *uses, const char *file,
                int line, const char *field, const char *allowed)
{
  kwf_finding_t finding = only_finding (plans, uses);
  assert_string_equal (finding.file, file);
  assert_string_equal (finding.field, field);
  assert_int_equal (finding.line, line);
  if (!strstr (finding.allowed, allowed))
    fail_msg ("\"%s\" does not contain \"%s\"", finding.allowed, allowed);
}

/* An organisation must have the limits and the permissions of its plan, and
   the lists must contain their organisations, models and services.  */
static void
organisation_has_what_its_plan_allows (void **state)
{
  (void)state;
  kwf_lists_t *lists = valid_lists (PLANS_LIST, USES_LIST);
  const kwf_organisation_t *north = kwf_lists_organisation (lists, "north");
  assert_non_null (north);
  assert_string_equal (north->plan, "gold");
  assert_string_equal (north->branch, "");
  assert_float_equal (north->rate, 1000, 0);
  assert_float_equal (north->burst, 5000.5, 0);
  assert_int_equal (north->priority, KWF_PRIORITY_INTERACTIVE);
  assert_true (kwf_organisation_may_use_model (north, "large", NULL));
  assert_true (kwf_organisation_may_use_model (north, "large", "b1"));
  assert_true (kwf_organisation_may_use_model (north, "small", "a1"));
  assert_false (kwf_organisation_may_use_model (north, "small", "a2"));
  assert_false (kwf_organisation_may_use_model (north, "small", "b1"));
  assert_false (kwf_organisation_may_use_model (north, "smal", NULL));
  assert_true (kwf_organisation_may_use_service (north, "booking"));
  assert_false (kwf_organisation_may_use_service (north, "status"));
  assert_null (kwf_lists_organisation (lists, "west"));
  assert_int_equal (kwf_lists_n_organisations (lists), 2);
  assert_int_equal (kwf_lists_n_models (lists), 2);
  assert_int_equal (kwf_lists_n_services (lists), 2);
  assert_int_equal (kwf_lists_model (lists, "large")->memory_mb, 80000);
  assert_string_equal (kwf_lists_model_at (lists, 0)->adapters[1], "a2");
  assert_true (kwf_lists_service (lists, "booking")->once);
  assert_true (kwf_lists_service (lists, "status")->open);
  kwf_lists_free (lists);
}

/* A branch's limits must take effect, and a model that it omits must take its
   adapters with it.  */
static void
branch_narrows_the_plan (void **state)
{
  (void)state;
  kwf_lists_t *lists = valid_lists (PLANS_LIST, USES_LIST);
  const kwf_organisation_t *south = kwf_lists_organisation (lists, "south");
  assert_string_equal (south->branch, "s");
  assert_float_equal (south->rate, 10, 0);
  assert_float_equal (south->burst, 5000.5, 0);
  assert_int_equal (south->priority, KWF_PRIORITY_OVERNIGHT);
  assert_true (kwf_organisation_may_use_model (south, "small", "a1"));
  assert_false (kwf_organisation_may_use_model (south, "large", NULL));
  assert_false (kwf_organisation_may_use_model (south, "large", "b1"));
  kwf_lists_free (lists);
}

#define BRANCH                                                                \
  "[[organisation]]\nname = \"south\"\nplan = \"gold\"\nbranch = \"s\"\n"

/* A branch must not get more than its plan.  */
static void
branch_must_not_widen_the_plan (void **state)
{
  (void)state;
  assert_finding (BRANCH "rate = 1001\n", USES_LIST, "plans", 5,
                  "organisation[1].rate", "at most 1000");
  assert_finding (BRANCH "burst = 6000\n", USES_LIST, "plans", 5,
                  "organisation[1].burst", "at most 5000.5");
  assert_finding (BRANCH "priority = \"urgent\"\n", USES_LIST, "plans", 5,
                  "organisation[1].priority", "not above \"interactive\"");
  assert_finding (BRANCH "services = [\"status\"]\n", USES_LIST, "plans", 5,
                  "organisation[1].services", "of the plan");
  assert_finding (BRANCH "adapters = [\"small/a2\"]\n", USES_LIST, "plans", 5,
                  "organisation[1].adapters", "did you mean \"small/a1\"");
  assert_finding (BRANCH "models = [\"small\"]\nadapters = [\"large/b1\"]\n",
                  USES_LIST, "plans", 6, "organisation[1].adapters",
                  "branch's models");
  assert_finding ("[[organisation]]\nname = \"n\"\nplan = \"gold\"\n"
                  "rate = 5\n",
                  USES_LIST, "plans", 4, "organisation[1].rate", "\"branch\"");
}

/* A misspelt name must be reported, not taken for a new one.  */
static void
misspelt_names_get_a_suggestion (void **state)
{
  (void)state;
  assert_finding ("[[organisation]]\nname = \"n\"\nplan = \"glod\"\n",
                  USES_LIST, "plans", 3, "organisation[1].plan",
                  "did you mean \"gold\"?");
  assert_finding ("[[organisation]]\nnmae = \"x\"\nname = \"n\"\n"
                  "plan = \"gold\"\n",
                  USES_LIST, "plans", 2, "organisation[1].nmae",
                  "did you mean \"name\"?");
  assert_finding ("[[organization]]\nname = \"n\"\n", USES_LIST, "plans", 1,
                  "organization", "did you mean \"organisation\"?");
  assert_finding (PLANS_LIST,
                  USES_LIST
                  "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\nmodels = [\n"
                  "  \"small\",\n  \"lage\",\n]\n",
                  "uses", 31, "plan[2].models", "did you mean \"large\"?");
  assert_finding (PLANS_LIST,
                  USES_LIST "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\n"
                            "services = [\"zzz\"]\n",
                  "uses", 29, "plan[2].services", "a service that exists");
}

/* Invalid values must be reported, each with its place.  */
static void
values_are_checked (void **state)
{
  (void)state;
  static const struct
  {
    const char *uses; /* appended to the valid list */
    int line;
    const char *field;
    const char *allowed;
  } cases[] = {
    { "[[plan]]\nname = \"p\"\nrate = -1\nburst = 1\n", 27, "plan[2].rate",
      "0 to" },
    { "[[plan]]\nname = \"p\"\nrate = nan\nburst = 1\n", 27, "plan[2].rate",
      "0 to" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1e11\n", 28, "plan[2].burst",
      "0 to" },
    { "[[plan]]\nname = \"p\"\nburst = 1\n", 25, "plan[2].rate", "required" },
    { "[[plan]]\nname = \"gold\"\nrate = 1\nburst = 1\n", 26, "plan[2].name",
      "once" },
    { "[[plan]]\nname = \"p\"\nrate = \"1\"\nburst = 1\n", 27, "plan[2].rate",
      "number" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\npriority = \"high\"\n", 29,
      "plan[2].priority", "\"urgent\", \"interactive\", \"overnight\"" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\nmodels = \"small\"\n", 29,
      "plan[2].models", "array" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\nmodels = [1]\n", 29,
      "plan[2].models", "array of names" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\n"
      "models = [\"small\", \"small\"]\n",
      29, "plan[2].models", "once" },
    { "[[plan]]\nname = \"p\"\nrate = 1\nburst = 1\nmodels = [\"small\"]\n"
      "adapters = [\"large/b1\"]\n",
      30, "plan[2].adapters", "plan's models" },
    { "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 0\n", 28,
      "model[3].memory_mb", "1 to 10000000" },
    { "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1.5\n", 28,
      "model[3].memory_mb", "whole number" },
    { "[[model]]\nname = \"m/x\"\nversion = \"1\"\nmemory_mb = 1\n", 26,
      "model[3].name", "letters" },
    { "[[model]]\nname = \"small\"\nversion = \"1\"\nmemory_mb = 1\n", 26,
      "model[3].name", "once" },
    { "[[model]]\nname = \"m\"\nversion = \"1\"\nmemory_mb = 1\n"
      "adapters = [\"a:b\"]\n",
      29, "model[3].adapters", "letters" },
    { "[[service]]\nname = \"s\"\nopen = 1\n", 27, "service[3].open",
      "true or false" },
    { "[[service]]\nname = \"s\"\nopen = true\nonce = true\n", 28,
      "service[3].once", "open service" },
    { "[[service]]\nname = \"status\"\n", 26, "service[3].name", "once" },
    { "[[service]]\nname = \"s\"\nname = \"t\"\n", 27, "", "TOML" },
    { "x = 1979-05-27\n", 25, "plan[1].x", "models" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      char *uses = g_strconcat (USES_LIST, cases[i].uses, NULL);
      assert_finding (PLANS_LIST, uses, "uses", cases[i].line, cases[i].field,
                      cases[i].allowed);
      g_free (uses);
    }
  assert_finding (PLANS_LIST "[[organisation]]\nname = \"north\"\n"
                             "plan = \"gold\"\n",
                  USES_LIST, "plans", 12, "organisation[3].name", "once");
  assert_finding ("organisation = 3\n", USES_LIST, "plans", 1, "organisation",
                  "[[organisation]]");
}

/* All findings must be reported, not only the first.  */
static void
all_findings_are_reported (void **state)
{
  (void)state;
  findings_t findings = { .n = 0 };
  assert_null (kwf_lists_parse (
      "[[organisation]]\nname = \"a b\"\nplan = \"none\"\nrat = 1\n", "p",
      USES_LIST "[[plan]]\nrate = -1\nburst = -1\nextra = 2\n", "u",
      findings_collect, &findings));
  assert_int_equal (findings.n, 7);
}

/* Deeply nested values must not overflow the stack of the parser, and texts
   beyond the other limits must be refused.  */
static void
bounds_of_the_text_hold (void **state)
{
  (void)state;
  char *deep = g_strnfill (8000, '[');
  char *nested = g_strconcat ("x = ", deep, "\n", NULL);
  assert_string_equal (only_finding (nested, USES_LIST).allowed,
                       "no nested arrays and no inline tables");
  g_free (nested);
  g_free (deep);
  GString *lines = g_string_new ("x = [\n");
  for (int i = 0; i < 10000; i++)
    g_string_append (lines, "[true, # ]\n");
  assert_string_equal (only_finding (lines->str, USES_LIST).allowed,
                       "no nested arrays and no inline tables");
  g_string_assign (lines, "x");
  for (int i = 0; i < 4000; i++)
    g_string_append (lines, ".x");
  g_string_append (lines, " = 1\n");
  assert_string_equal (only_finding (lines->str, USES_LIST).allowed,
                       "at most 256 dots on a line");
  g_string_assign (lines, "# ");
  for (int i = 0; i < 9000; i++)
    g_string_append_c (lines, 'x');
  assert_string_equal (only_finding (lines->str, USES_LIST).allowed,
                       "lines of at most 8192 bytes");
  g_string_assign (lines, "");
  for (int i = 0; i <= TEXT_MAX_BYTES / 8; i++)
    g_string_append (lines, "# line \n");
  assert_string_equal (only_finding (lines->str, USES_LIST).allowed,
                       "a text of at most 409600 bytes");
  g_string_free (lines, TRUE);
  assert_string_equal (only_finding ("x = \"\"\"\n", USES_LIST).allowed,
                       "strings on one line (no triple quotes)");
  kwf_finding_t finding = only_finding ("# \xff\n", USES_LIST);
  assert_string_equal (finding.allowed, "text in UTF-8");
  assert_int_equal (finding.line, 1);
}

/* "apply --dry-run" must show every change.  */
static void
difference_shows_each_change (void **state)
{
  (void)state;
  kwf_lists_t *before = valid_lists (PLANS_LIST, USES_LIST);
  kwf_lists_t *after = valid_lists (
      "[[organisation]]\nname = \"north\"\nplan = \"gold\"\nbranch = \"b\"\n"
      "rate = 7\n[[organisation]]\nname = \"west\"\nplan = \"gold\"\n",
      USES_LIST);
  char *same = lists_diff (before, before);
  char *text = lists_diff (before, after);
  char *all = lists_diff (NULL, after);
  assert_string_equal (same, "");
  assert_non_null (strstr (text, "~ organisation north: "));
  assert_non_null (strstr (text, "rate 7,"));
  assert_non_null (strstr (text, "- organisation south: "));
  assert_non_null (strstr (text, "+ organisation west: "));
  assert_null (strstr (text, "plan gold:"));
  assert_non_null (strstr (all, "+ plan gold: "));
  assert_non_null (strstr (all, "+ model small: "));
  assert_non_null (strstr (all, "+ service booking: "));
  g_free (same);
  g_free (text);
  g_free (all);
  kwf_lists_free (before);
  kwf_lists_free (after);
}

/* A suggestion must be close to the misspelt name.  */
static void
nearest_name_is_close (void **state)
{
  (void)state;
  static const char *const names[] = { "rate", "burst", "models" };
  assert_int_equal (nearest_distance ("kitten", "sitting"), 3);
  assert_int_equal (nearest_distance ("", "abc"), 3);
  assert_int_equal (nearest_distance ("gold", "glod"), 1);
  assert_string_equal (nearest_name ("brust", names, 3), "burst");
  assert_string_equal (nearest_name ("bursts", names, 3), "burst");
  assert_string_equal (nearest_name ("rat", names, 3), "rate");
  assert_null (nearest_name ("colour", names, 3));
}

static char *
mutate (GRand *rand, const char *seed)
{
  static const char *const parts[]
      = { "[",    "]",   "[[",   "]]",      "\"",   "=",        "\n",
          "{",    "}",   "'",    ",",       ".",    "#",        "\\u00e9",
          "\\",   "1e9", "0x",   "inf",     "nan",  "07:00:00", "1979-05-27",
          "true", "-",   "\xff", "\\u0000", "\r\n", "= [1, ",   "name" };
  GString *text = g_string_new (seed);
  gssize erase;
  int edits = g_rand_int_range (rand, 1, 5);
  for (int i = 0; i < edits && text->len; i++)
    {
      gsize at = (gsize)g_rand_int_range (rand, 0, (gint32)text->len);
      switch (g_rand_int_range (rand, 0, 4))
        {
        case 0:
          text->str[at] = (char)g_rand_int_range (rand, 1, 256);
          break;
        case 1:
          erase = g_rand_int_range (rand, 1, 9);
          g_string_erase (text, (gssize)at,
                          MIN ((gssize)(text->len - at), erase));
          break;
        case 2:
          g_string_truncate (text, at);
          break;
        default:
          g_string_insert (
              text, (gssize)at,
              parts[g_rand_int_range (rand, 0, G_N_ELEMENTS (parts))]);
        }
    }
  return g_string_free (text, FALSE);
}

static void
count_finding (const kwf_finding_t *finding, void *data)
{
  assert_true (g_utf8_validate (finding->found, -1, NULL));
  assert_true (g_utf8_validate (finding->allowed, -1, NULL));
  assert_true (g_utf8_validate (finding->field, -1, NULL));
  ++*(size_t *)data;
}

/* No crash, no exception and no lists in spite of findings, for 10000 seeded
   mutations.  */
static void
mutated_lists_do_no_harm (void **state)
{
  (void)state;
  GRand *rand = g_rand_new_with_seed (3);
  size_t n_valid = 0;
  for (int i = 0; i < 10000; i++)
    {
      char *plans = mutate (rand, PLANS_LIST);
      char *uses = mutate (rand, USES_LIST);
      size_t n = 0;
      kwf_lists_t *lists = kwf_lists_parse (i % 2 ? plans : PLANS_LIST,
                                            "plans", i % 2 ? USES_LIST : uses,
                                            "uses", count_finding, &n);
      assert_true ((lists != NULL) == (n == 0));
      n_valid += lists != NULL;
      kwf_lists_free (lists);
      g_free (plans);
      g_free (uses);
    }
  print_message ("%zu of 10000 mutations are valid\n", n_valid);
  g_rand_free (rand);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (organisation_has_what_its_plan_allows),
    cmocka_unit_test (branch_narrows_the_plan),
    cmocka_unit_test (branch_must_not_widen_the_plan),
    cmocka_unit_test (misspelt_names_get_a_suggestion),
    cmocka_unit_test (values_are_checked),
    cmocka_unit_test (all_findings_are_reported),
    cmocka_unit_test (bounds_of_the_text_hold),
    cmocka_unit_test (difference_shows_each_change),
    cmocka_unit_test (nearest_name_is_close),
    cmocka_unit_test (mutated_lists_do_no_harm),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
