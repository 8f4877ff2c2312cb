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
  STATUS_OK = 0,
  STATUS_FAILED = 1,
  STATUS_USAGE = 2,
  STATUS_CONFLICT = 3,
  STATUS_UNKNOWN = 4
};

typedef struct
{
  const char *instance;   /* "IP:PORT" of an instance's operator port */
  const char *ca;         /* file of CA certificates for the instance's
                             certificate; NULL: no TLS */
  const char *token_file; /* file with the operator token */
  bool json;
  bool dry_run;
  int64_t version; /* version the files were edited from; -1: not given */
  const char *digest;
  const char *output;       /* directory for files; NULL: standard output */
  const char *arguments[2]; /* arguments of the command */
  int n_arguments;
} operator_options_t;

/* The commands.  Each returns the exit status.  */
int operator_check (const operator_options_t *options);
int operator_apply (const operator_options_t *options);
int operator_show (const operator_options_t *options);
int operator_key_add (const operator_options_t *options);
int operator_key_withdraw (const operator_options_t *options);
int operator_status (const operator_options_t *options);

/* common-http.c: calls to the operator port.  */
typedef struct
{
  int exit_status; /* STATUS_OK if there is an answer, whatever its status */
  int status;      /* HTTP status */
  json_t *body;    /* with status 200 an object; otherwise JSON, or NULL if the
                      answer is not JSON */
} http_answer_t;

/* Call PATH with METHOD, "GET" or "POST".  A POST may change something, so
   without an answer its outcome is unknown and the exit status STATUS_UNKNOWN.
   BODY may be NULL.  Errors are written to standard error.  */
http_answer_t http_call (const operator_options_t *options, const char *method,
                         const char *path, const json_t *body);
void http_clear (http_answer_t *answer);

/* For an answer other than 200: write its error to standard error and return
   the exit status.  */
int http_report (const http_answer_t *answer);

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
void finding_to_json (const kwf_finding_t *finding, void *data);

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
