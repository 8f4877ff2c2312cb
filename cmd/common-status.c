/* The command "knapweedfork status".  */

#include "common-operator.h"

int
operator_status (const operator_options_t *options)
{
  operator_answer_t answer = http_call (options, "GET", "/status", NULL);
  int status = EXIT_STATUS_OK;
  if (answer.exit_status != EXIT_STATUS_OK || answer.http_status != 200)
    status = http_report (&answer);
  else if (options->json)
    print_json (answer.body);
  else
    print_overview (answer.body);
  http_clear (&answer);
  return status;
}
