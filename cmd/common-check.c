/* The command "knapweedfork check PLANS USES".  */

#include "common-operator.h"

#include <stdio.h>

int
operator_check (const operator_options_t *options)
{
  list_file_t plans = { .version = -1 };
  list_file_t uses = { .version = -1 };
  kwf_lists_t *lists = NULL;
  json_t *findings = options->json ? json_array () : NULL;
  bool readable = list_file_read (options->arguments[0], &plans)
                  && list_file_read (options->arguments[1], &uses);
  if (readable)
    {
      lists = finding_check_files (options, &plans, &uses, findings);
      if (options->json)
        {
          json_t *body = json_pack ("{s:b, s:O}", "valid", lists != NULL,
                                    "findings", findings);
          print_json (body);
          json_decref (body);
        }
      else if (lists)
        printf ("valid: %zu organisations, %zu models, %zu services\n",
                kwf_lists_n_organisations (lists), kwf_lists_n_models (lists),
                kwf_lists_n_services (lists));
    }
  int status = lists ? EXIT_STATUS_OK : EXIT_STATUS_USAGE;
  kwf_lists_free (lists);
  json_decref (findings);
  list_file_clear (&plans);
  list_file_clear (&uses);
  return status;
}
