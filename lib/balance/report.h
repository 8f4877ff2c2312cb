/* report.h - what an operator sees of the choice by expected delay: log
   events, metrics and the status page.  */

#ifndef KNAPWEEDFORK_BALANCE_REPORT_H
#define KNAPWEEDFORK_BALANCE_REPORT_H

#include <jansson.h>

#include "../request.h"

/* ATTEMPT is about to be sent.  Called before it is counted at its server.  */
void report_choice (kwf_core_t *core, const attempt_t *attempt,
                    kwf_effects_t *effects);

/* Log servers that have become much slower than the others of their service,
   or no longer are.  */
void report_slow_servers (kwf_core_t *core, kwf_effects_t *effects);

void report_write_metrics (const kwf_core_t *core, GString *out);

/* What is known of the delays at SERVER, for the status page; NULL: it never
   reported a pace.  */
json_t *report_server_json (const server_t *server, int64_t now_ns);

#endif
