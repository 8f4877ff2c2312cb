/* status.h - status codes and error records.

   A function that can fail returns a kwf_status_t.  If its callers need the
   cause, it also takes a kwf_error_t (may be NULL), which it fills only on
   failure, with the operation and the peer that failed.  */

#ifndef KNAPWEEDFORK_STATUS_H
#define KNAPWEEDFORK_STATUS_H

typedef enum
{
  KWF_OK = 0,
  KWF_INVALID,     /* malformed or out of bounds */
  KWF_NOT_FOUND,   /* the named item does not exist */
  KWF_CONFLICT,    /* a compare-and-set failed: the row has another version */
  KWF_UNAVAILABLE, /* the peer did not do it and certainly did not begin */
  KWF_UNKNOWN,     /* sent without an answer: it may or may not have
                      happened */
  KWF_TIMEOUT,     /* the deadline has passed */
  KWF_DENIED,      /* authentication or authorisation failed */
  KWF_LIMIT,       /* a limit on size, rate or memory was reached */
  KWF_CLOSED       /* the connection or object is closed */
} kwf_status_t;

typedef struct
{
  kwf_status_t status;
  char step[32];     /* the operation, for example "renew lease" */
  char peer[64];     /* "ADDRESS:PORT", a file name, or "" */
  char message[256]; /* one sentence without a full stop */
} kwf_error_t;

/* Return the name of STATUS, for example "not_found".  Names do not change
   between releases.  */
const char *kwf_status_name (kwf_status_t status);

/* Fill ERROR (may be NULL) and return STATUS.  STEP and PEER may be NULL.  */
kwf_status_t kwf_fail (kwf_error_t *error, kwf_status_t status,
                       const char *step, const char *peer, const char *format,
                       ...) __attribute__ ((format (printf, 5, 6)));

#endif
