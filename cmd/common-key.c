/* The commands "knapweedfork key add ORGANISATION" and "knapweedfork key
   withdraw KEY".  */

#include "common-operator.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/key.h"

static const char *
text_in (const json_t *body, const char *name)
{
  const char *text = json_string_value (json_object_get (body, name));
  return text ? text : "";
}

int
operator_key_add (const operator_options_t *options)
{
  json_t *body = json_pack ("{s:s}", "organisation", options->arguments[0]);
  operator_answer_t answer = http_call (options, "POST", "/keys", body);
  json_decref (body);
  int exit_status = EXIT_STATUS_OK;
  if (answer.exit_status != EXIT_STATUS_OK || answer.http_status != 200)
    exit_status = http_report (&answer);
  else if (options->json)
    print_json (answer.body);
  else
    printf ("key: %s\ndigest: %s\n", text_in (answer.body, "key"),
            text_in (answer.body, "digest"));
  http_clear (&answer);
  return exit_status;
}

/* Key from the command line, or from standard input if the argument is "-".
   On standard input other users do not see it in the list of processes.  */
static char *
read_key (const operator_options_t *options)
{
  if (strcmp (options->arguments[0], "-") != 0)
    return g_strdup (options->arguments[0]);
  char line[256] = "";
  if (!fgets (line, sizeof line, stdin))
    line[0] = '\0';
  return g_strdup (g_strstrip (line));
}

static void
print_members (FILE *stream, const char *title, const json_t *members)
{
  fprintf (stream, "%s:", title);
  size_t i;
  json_t *member;
  json_array_foreach (members, i, member)
  {
    fprintf (stream, " %s", json_string_value (member));
  }
  fprintf (stream, "%s\n", json_array_size (members) ? "" : " none");
}

static void
print_unconfirmed (const json_t *body)
{
  const json_t *members = json_object_get (body, "unconfirmed");
  if (!json_array_size (members))
    return;
  print_members (stderr, "not confirmed by", members);
  fprintf (stderr,
           "These members learn of the withdrawal with their next renewal. "
           "One that is cut off\nfrom the platform together with its peers "
           "may go on accepting the key.\n");
}

int
operator_key_withdraw (const operator_options_t *options)
{
  json_t *body;
  if (options->digest)
    body = json_pack ("{s:s}", "digest", options->digest);
  else
    {
      char *key = read_key (options);
      body = json_pack ("{s:s}", "key", key);
      g_free (key);
    }
  operator_answer_t answer
      = http_call (options, "POST", "/keys/withdraw", body);
  json_decref (body);
  int exit_status = EXIT_STATUS_OK;
  if (answer.exit_status != EXIT_STATUS_OK || answer.http_status != 200)
    exit_status = http_report (&answer);
  else if (options->json)
    print_json (answer.body);
  else
    {
      printf ("withdrawn: %s\n", text_in (answer.body, "digest"));
      print_members (stdout, "confirmed by",
                     json_object_get (answer.body, "confirmed"));
    }
  if (!options->json)
    print_unconfirmed (answer.body);
  http_clear (&answer);
  return exit_status;
}
