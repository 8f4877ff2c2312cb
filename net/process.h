/* process.h - metrics of the process itself.  */

#ifndef KNAPWEEDFORK_NET_PROCESS_H
#define KNAPWEEDFORK_NET_PROCESS_H

#include <glib.h>

#include "peer.h"

/* Append processor time, resident memory and link traffic in the text
   exposition format.  */
void process_write_metrics (GString *out, const peers_t *peers);

#endif
