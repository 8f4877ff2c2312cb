/* check.h - finds entries of valid lists that can never be used, and limits
   that contradict each other.

   Load pattern: none; this runs before a configuration is sent.  The functions
   use no files and no network.  */

#ifndef KNAPWEEDFORK_LIB_CHECK_CHECK_H
#define KNAPWEEDFORK_LIB_CHECK_CHECK_H

#include <stdbool.h>

#include <knapweedfork/lists.h>

/* One text of the two lists.  */
typedef struct
{
  const char *file; /* name in findings */
  const char *text;
} check_text_t;

/* Check LISTS, which kwf_lists_parse made of PLANS and USES.  FN is called
   with each finding.  Return their number.  */
size_t check_lists (const kwf_lists_t *lists, const check_text_t *plans,
                    const check_text_t *uses, kwf_finding_fn_t fn, void *data);

/* How a configuration with routes names the fields that are checked.  */
typedef struct
{
  const char *file;
  const char *routes; /* the arrays */
  const char *services;
  const char *organisations;
  const char *service; /* fields of a route */
  const char *timeout;
  const char *objective;
  const char *burst; /* fields of an organisation */
  const char *keys;
} check_names_t;

/* Whether ORGANISATION has a key.  */
typedef bool (*check_has_key_fn_t) (const char *organisation,
                                    const void *data);

/* The same for lists with routes instead of plans.  HAS_KEY is called with
   KEYS.  Fields are named ARRAY["NAME"].FIELD; lines are not known.  */
size_t check_routed_lists (const kwf_lists_t *lists,
                           const check_names_t *names,
                           check_has_key_fn_t has_key, const void *keys,
                           kwf_finding_fn_t fn, void *data);

#endif
