/* common-standins.h - the stand-ins as processes, for tests.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_STANDINS_H
#define KNAPWEEDFORK_TEST_COMMON_STANDINS_H

#include <jansson.h>

#include "common-process.h"

typedef struct
{
  process_t platform;
  process_t engine;
  process_t service;
} standins_t;

/* Set-up and tear-down functions of cmocka.  The tear-down stops the programs
   that were started and fails unless each exits with status 0, which under the
   sanitizers includes the check for memory leaks.  */
int standins_set_up (void **state);
int standins_tear_down (void **state);

void standins_start_platform (standins_t *f);

/* Start an engine of 1000 MB.  The model m1 (400 MB, adapter a1) is loaded; m2
   (400 MB) and m3 (700 MB) can be loaded within 300 ms.  MORE are further
   arguments, ending with NULL, or NULL.  */
void standins_start_engine (standins_t *f, const char *const *more);

/* Send BODY with POST /switch.  */
void standins_set_switch (const process_t *process, const char *body);

/* The field NAME, which must be an integer, or a string.  */
json_int_t json_number_of (const json_t *object, const char *name);
const char *json_text_of (const json_t *object, const char *name);

#endif
