/* process.h - metrics of this process.  */

#ifndef KNAPWEEDFORK_NET_PROCESS_H
#define KNAPWEEDFORK_NET_PROCESS_H

#include <glib.h>

#include "peer.h"

/* Appends processor time, resident memory and link traffic in the Prometheus
   text format.  */
void process_write_metrics (GString *out, const peers_t *peers);

#endif
