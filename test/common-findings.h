/* common-findings.h - collects findings for tests.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_FINDINGS_H
#define KNAPWEEDFORK_TEST_COMMON_FINDINGS_H

#include <knapweedfork/lists.h>

typedef struct
{
  kwf_finding_t items[64];
  size_t n;
} findings_t;

/* Append FINDING to DATA, a findings_t; a kwf_finding_fn_t.  */
void findings_collect (const kwf_finding_t *finding, void *data);

#endif
