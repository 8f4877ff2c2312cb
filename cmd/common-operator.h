/* common-operator.h - parts of the operators' command, knapweedfork.  */

#ifndef KNAPWEEDFORK_CMD_COMMON_OPERATOR_H
#define KNAPWEEDFORK_CMD_COMMON_OPERATOR_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/lists.h>

/* Exit statuses, as in knapweedfork(1).  */
enum
{
  EXIT_STATUS_OK = 0,
  EXIT_STATUS_FAILED = 1,
  EXIT_STATUS_USAGE = 2,
  EXIT_STATUS_CONFLICT = 3,
  EXIT_STATUS_UNKNOWN = 4
};

typedef struct
{
  const char *address;    /* "IP:PORT" of an instance's operator port */
  const char *ca;         /* file of CA certificates for the instance's
                             certificate; NULL: no TLS */
  const char *token_file; /* file with the operator token */
  bool json;
  bool dry_run;
  int64_t version; /* version the files were edited from; -1: not given */
  const char *digest;
  const char *platform;     /* file with the platform's configuration */
  const char *against;      /* file with the lists in force */
  bool in_force;            /* compare with the lists of the instance */
  const char *output;       /* directory for files; NULL: standard output */
  const char *arguments[2]; /* arguments of the command */
  int n_arguments;
} operator_options_t;

/* The commands that operators run; operator_key_add runs "knapweedfork key
   add".  Each returns the exit status.  */
int operator_check (const operator_options_t *options);
int operator_apply (const operator_options_t *options);
int operator_show (const operator_options_t *options);
int operator_key_add (const operator_options_t *options);
int operator_key_withdraw (const operator_options_t *options);
int operator_status (const operator_options_t *options);

/* common-http.c: calls to the operator port.  */
typedef struct
{
  int exit_status; /* EXIT_STATUS_OK if there is a usable answer: an error
                      status, or status 200 with a JSON object; otherwise the
                      exit status of the command */
  int http_status;
  json_t *body; /* with status 200 an object; otherwise JSON, or NULL if the
                   answer is not JSON */
} operator_answer_t;

/* Call PATH with METHOD, "GET" or "POST".  Without a usable answer, the error
   is written to standard error.  The exit status is then EXIT_STATUS_UNKNOWN
   for a POST that the instance may have carried out, EXIT_STATUS_USAGE if the
   address or the token is missing, and EXIT_STATUS_FAILED otherwise.  BODY may
   be NULL.  */
operator_answer_t http_call (const operator_options_t *options,
                             const char *method, const char *path,
                             const json_t *body);
void http_clear (operator_answer_t *answer);

/* Return the exit status for an answer that is unusable or not 200.  If the
   answer is usable, write its error to standard error; otherwise http_call has
   written it.  */
int http_report (const operator_answer_t *answer);

/* common-list-file.c: a list and the version it was edited from.  */
typedef struct
{
  char *text;      /* contents without the version line */
  char *whole;     /* whole contents */
  int64_t version; /* from the first line, "# version N"; -1: none */
} list_file_t;

bool list_file_read (const char *path, list_file_t *file);
void list_file_clear (list_file_t *file);

/* common-finding.c */
void finding_print (const kwf_finding_t *finding, void *data);
/* Append FINDING to DATA, a json_t array.  */
void finding_append_json (const kwf_finding_t *finding, void *data);

/* Parse both files.  Findings are written to standard error or, if FINDINGS is
   not NULL, appended to it (a JSON array).  */
kwf_lists_t *finding_check_files (const operator_options_t *options,
                                  const list_file_t *plans,
                                  const list_file_t *uses, json_t *findings);

/* Print VALUE as JSON on one line; print the object VALUE in a readable
   form.  */
void print_json (const json_t *value);
void print_overview (const json_t *value);

#endif
