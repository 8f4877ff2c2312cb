/* Prints findings, or converts them to JSON.  */

#include "common-operator.h"

#include <stdio.h>

void
finding_print (const kwf_finding_t *finding, void *data)
{
  (void)data;
  fprintf (stderr, "%s:", finding->file);
  if (finding->line)
    fprintf (stderr, "%d:", finding->line);
  if (*finding->field)
    fprintf (stderr, " %s:", finding->field);
  if (*finding->found)
    fprintf (stderr, " found %s,", finding->found);
  fprintf (stderr, " allowed: %s\n", finding->allowed);
}

void
finding_append_json (const kwf_finding_t *finding, void *data)
{
  json_array_append_new (
      data, json_pack ("{s:s, s:i, s:s, s:s, s:s}", "file", finding->file,
                       "line", finding->line, "field", finding->field, "found",
                       finding->found, "allowed", finding->allowed));
}

kwf_lists_t *
finding_check_files (const operator_options_t *options,
                     const list_file_t *plans, const list_file_t *uses,
                     json_t *findings)
{
  return kwf_lists_parse (
      plans->whole, options->arguments[0], uses->whole, options->arguments[1],
      findings ? finding_append_json : finding_print, findings);
}
