/* op.h - handles of table transactions.

   Each module numbers its own transactions.  The handle also holds the module,
   so that a reply reaches only the module that sent the transaction.  */

#ifndef KNAPWEEDFORK_OP_H
#define KNAPWEEDFORK_OP_H

#include <stdint.h>

#include <knapweedfork/handle.h>

typedef enum
{
  OP_SESSION = 0xe1,
  OP_SHARE,
  OP_CLAIM,
  OP_CONFIG,
  OP_CRASH,
  OP_LEDGER,
  OP_ELECTION,
  OP_ORIGIN
} op_owner_t;

static inline kwf_handle_t
op_handle (op_owner_t owner, uint64_t number)
{
  return (kwf_handle_t)owner << 56 | (number & (UINT64_MAX >> 8));
}

static inline op_owner_t
op_owner (kwf_handle_t op)
{
  return (op_owner_t)(op >> 56);
}

#endif
