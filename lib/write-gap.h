/* write-gap.h - the pace of rows that every instance may have to write at the
   same time.

   A part of a table takes a limited number of transactions a second, and each
   call beyond it is refused, also one that another duty cannot do without.  So
   an instance leaves a gap between two such writes that grows with the
   fleet.  */

#ifndef KNAPWEEDFORK_WRITE_GAP_H
#define KNAPWEEDFORK_WRITE_GAP_H

#include <stddef.h>
#include <stdint.h>

/* Returns the least time between two writes of one of N_INSTANCES, in
   nanoseconds.  */
int64_t write_gap_ns (size_t n_instances);

#endif
