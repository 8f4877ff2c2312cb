#include "common-standins.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "common-http.h"

int
standins_set_up (void **state)
{
  *state = g_new0 (standins_t, 1);
  return 0;
}

/* Each program must exit with status 0.  Under the sanitizers that includes
   the check for memory leaks.  */
int
standins_tear_down (void **state)
{
  standins_t *f = *state;
  process_t *all[] = { &f->platform, &f->engine, &f->service };
  int result = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (all); i++)
    if (all[i]->pid > 0)
      result |= process_stop (all[i]);
  g_free (f);
  return result;
}

void
standins_start_platform (standins_t *f)
{
  assert_true (process_start (&f->platform, "standin-platform", NULL));
}

void
standins_start_engine (standins_t *f, const char *const *more)
{
  const char *args[32]
      = { "--memory-mb",  "1000",   "--model",   "m1:v1:400:a1",
          "--size",       "m2:400", "--size",    "m3:700",
          "--token-ms",   "1",      "--load-ms", "300",
          "--prefill-us", "10",     "--batch",   "8" };
  size_t n = 16;
  while (more && *more)
    args[n++] = *more++;
  args[n] = NULL;
  assert_true (process_start (&f->engine, "standin-engine", args));
}

json_int_t
json_number_of (const json_t *object, const char *name)
{
  const json_t *field = json_object_get (object, name);
  assert_true (json_is_integer (field));
  return json_integer_value (field);
}

const char *
json_text_of (const json_t *object, const char *name)
{
  const char *value = json_string_value (json_object_get (object, name));
  assert_non_null (value);
  return value;
}

void
standins_set_switch (const process_t *process, const char *body)
{
  assert_int_equal (http_post (process->address, "/switch", body), 200);
}
