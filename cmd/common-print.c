/* Prints JSON values, as JSON or in a form for people.  */

#include "common-operator.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_DEPTH 16

void
print_json (const json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  printf ("%s\n", text ? text : "null");
  free (text);
}

static void
print_scalar (const json_t *value)
{
  switch (json_typeof (value))
    {
    case JSON_STRING:
      printf ("%s", json_string_value (value));
      break;
    case JSON_INTEGER:
      printf ("%lld", (long long)json_integer_value (value));
      break;
    case JSON_REAL:
      printf ("%.6g", json_real_value (value));
      break;
    case JSON_TRUE:
      printf ("yes");
      break;
    case JSON_FALSE:
      printf ("no");
      break;
    case JSON_OBJECT:
    case JSON_ARRAY:
    case JSON_NULL:
      printf ("-");
      break;
    }
}

static bool
is_scalar (const json_t *value)
{
  return !json_is_object (value) && !json_is_array (value);
}

/* Whether VALUE is printed on one line, that is, it has no nested parts.  */
static bool
is_flat (const json_t *value)
{
  const char *name;
  size_t i;
  json_t *item;
  if (json_is_array (value))
    {
      json_array_foreach (value, i, item)
      {
        if (!is_scalar (item))
          return false;
      }
    }
  else if (json_is_object (value))
    {
      json_object_foreach ((json_t *)value, name, item)
      {
        if (!is_scalar (item))
          return false;
      }
    }
  return true;
}

static void
print_flat (const json_t *value)
{
  const char *name;
  size_t i;
  json_t *item;
  const char *separator = "";
  if (is_scalar (value))
    print_scalar (value);
  else if (json_is_array (value))
    {
      json_array_foreach (value, i, item)
      {
        printf ("%s", separator);
        print_scalar (item);
        separator = ", ";
      }
    }
  else
    {
      json_object_foreach ((json_t *)value, name, item)
      {
        printf ("%s%s ", separator, name);
        print_scalar (item);
        separator = ", ";
      }
    }
}

/* The recursion ends at MAX_DEPTH.  */
static void
/* NOLINTNEXTLINE(misc-no-recursion) */
print_nested (const char *name, const json_t *value, int depth)
{
  printf ("%*s%s%s", 2 * depth, "", name, *name ? ":" : "-");
  if (depth >= MAX_DEPTH)
    {
      printf (" ...\n");
      return;
    }
  if (is_flat (value))
    {
      printf (" ");
      print_flat (value);
      printf ("\n");
      return;
    }
  printf ("\n");
  const char *key;
  size_t i;
  json_t *item;
  if (json_is_array (value))
    {
      json_array_foreach (value, i, item)
      {
        print_nested ("", item, depth + 1);
      }
    }
  else
    {
      json_object_foreach ((json_t *)value, key, item)
      {
        print_nested (key, item, depth + 1);
      }
    }
}

void
print_overview (const json_t *value)
{
  const char *key;
  json_t *item;
  json_object_foreach ((json_t *)value, key, item)
  {
    print_nested (key, item, 0);
  }
}
