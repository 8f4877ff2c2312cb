/* Calls to the operator port of an instance.  */

#include "common-operator.h"

#include <curl/curl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>

/* An instance answers within 8 s, even if the platform's table does not.  */
#define CONNECT_TIMEOUT_MS 3000L
#define TOTAL_TIMEOUT_MS 15000L
#define MAX_ANSWER_BYTES ((size_t)64 * 1024 * 1024)

static char *
read_token (const operator_options_t *options)
{
  if (!options->token_file)
    {
      fprintf (stderr, "knapweedfork: no token file: use --token-file or "
                       "KNAPWEEDFORK_TOKEN_FILE\n");
      return NULL;
    }
  char *token = NULL;
  GError *error = NULL;
  if (!g_file_get_contents (options->token_file, &token, NULL, &error))
    {
      fprintf (stderr, "knapweedfork: %s\n", error->message);
      g_error_free (error);
      return NULL;
    }
  return g_strchomp (token);
}

static size_t
append_answer (char *bytes, size_t size, size_t n, void *data)
{
  GString *answer = data;
  if (answer->len + size * n > MAX_ANSWER_BYTES)
    return 0;
  g_string_append_len (answer, bytes, (gssize)(size * n));
  return size * n;
}

/* Whether the instance may have carried out the call although its answer is
   missing.  */
static bool
may_have_arrived (CURL *curl, CURLcode code)
{
  long sent = 0;
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &sent);
  return sent > 0 && code != CURLE_COULDNT_CONNECT;
}

static void
set_request (CURL *curl, const operator_options_t *options, const char *method,
             const char *path, const char *body, struct curl_slist *headers,
             GString *answer_text)
{
  char *url = g_strdup_printf ("%s://%s%s", options->ca ? "https" : "http",
                               options->address, path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  g_free (url);
  curl_easy_setopt (curl, CURLOPT_PROTOCOLS_STR, "http,https");
  if (options->ca)
    curl_easy_setopt (curl, CURLOPT_CAINFO, options->ca);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, TOTAL_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer_text);
}

static operator_answer_t
run_call (CURL *curl, const operator_options_t *options, const char *method,
          const GString *answer_text)
{
  operator_answer_t answer = { .exit_status = EXIT_STATUS_OK };
  CURLcode code = curl_easy_perform (curl);
  if (code == CURLE_OK)
    {
      long status = 0;
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      answer.http_status = (int)status;
      answer.body = json_loadb (answer_text->str, answer_text->len, 0, NULL);
      if (status != 200 || json_is_object (answer.body))
        return answer;
      bool may_change = strcmp (method, "POST") == 0;
      fprintf (stderr, "knapweedfork: %s: the answer is not a JSON object%s\n",
               options->address, may_change ? "; the outcome is unknown" : "");
      answer.exit_status
          = may_change ? EXIT_STATUS_UNKNOWN : EXIT_STATUS_FAILED;
      return answer;
    }
  bool unknown = strcmp (method, "POST") == 0 && may_have_arrived (curl, code);
  fprintf (stderr, "knapweedfork: %s: %s%s\n", options->address,
           curl_easy_strerror (code),
           unknown ? "; the outcome is unknown" : "");
  answer.exit_status = unknown ? EXIT_STATUS_UNKNOWN : EXIT_STATUS_FAILED;
  return answer;
}

operator_answer_t
http_call (const operator_options_t *options, const char *method,
           const char *path, const json_t *body)
{
  operator_answer_t answer = { .exit_status = EXIT_STATUS_USAGE };
  if (!options->address)
    {
      fprintf (stderr, "knapweedfork: no instance: use --instance or "
                       "KNAPWEEDFORK_INSTANCE\n");
      return answer;
    }
  char *token = read_token (options);
  CURL *curl = token ? curl_easy_init () : NULL;
  if (curl)
    {
      GString *answer_text = g_string_new (NULL);
      char *sent = body ? json_dumps (body, JSON_COMPACT) : NULL;
      char *authorization
          = g_strconcat ("Authorization: Bearer ", token, NULL);
      struct curl_slist *headers = curl_slist_append (NULL, authorization);
      headers = curl_slist_append (headers, "Content-Type: application/json");
      headers = curl_slist_append (headers, "Expect:");
      set_request (curl, options, method, path, sent, headers, answer_text);
      answer = run_call (curl, options, method, answer_text);
      curl_slist_free_all (headers);
      g_free (authorization);
      free (sent);
      g_string_free (answer_text, TRUE);
      curl_easy_cleanup (curl);
    }
  g_free (token);
  return answer;
}

void
http_clear (operator_answer_t *answer)
{
  json_decref (answer->body);
  answer->body = NULL;
}

int
http_report (const operator_answer_t *answer)
{
  if (answer->exit_status != EXIT_STATUS_OK)
    return answer->exit_status;
  const json_t *error = json_object_get (answer->body, "error");
  const char *code = json_string_value (json_object_get (error, "code"));
  const char *message = json_string_value (json_object_get (error, "message"));
  fprintf (stderr, "knapweedfork: refused with status %d: %s%s%s\n",
           answer->http_status, code ? code : "no error code",
           message ? ": " : "", message ? message : "");
  switch (answer->http_status)
    {
    case 400:
      return EXIT_STATUS_USAGE;
    case 409:
      return EXIT_STATUS_CONFLICT;
    case 504:
      return EXIT_STATUS_UNKNOWN;
    default:
      return EXIT_STATUS_FAILED;
    }
}
