/* restored.h - entries of backend servers that come from an older copy of the
   store.

   After the store came back from an older copy (lib/revision.h), its list may
   say less than is known: a server that left or was gone is ready in it.  Such
   an entry counts as leaving until the server has written it again, or until
   the list still has it when the store would have removed that of a silent
   server.  */

#ifndef KNAPWEEDFORK_RESTORED_H
#define KNAPWEEDFORK_RESTORED_H

#include "backend.h"

/* After this time of a new era all that lives has written again, and the store
   has removed the entries of servers that are silent.  */
#define RESTORED_HOLD_NS (4 * KWF_NS_PER_S)

typedef enum
{
  RESTORED_CURRENT, /* the entry holds */
  RESTORED_LEFT,    /* the server is known to have left since */
  RESTORED_REPLACED /* it is of a process that has been replaced since */
} restored_word_t;

/* A list of servers, as far as its entries may come from a copy.  */
typedef struct
{
  int64_t current_ns; /* it was the newest at this time */
  /* An entry that the list before lacked, and whose version is lower than
     this, may come from the copy.  */
  int64_t lost_end;
  /* The copy was made before this version.  */
  int64_t copy_end;
} restored_list_t;

/* Compares the list of EVENT, which was current at CURRENT_NS, with what
   BACKEND knows from the list of revision BEFORE (0: there was none).  */
restored_list_t restored_list (const backend_t *backend,
                               const kwf_members_event_t *event,
                               int64_t before, int64_t current_ns);

/* Compares the entry MEMBER with what is known of SERVER.  ADDED: nothing was.
   Call it before the entry is applied.  */
restored_word_t restored_check (server_t *server, const kwf_member_t *member,
                                bool added, const restored_list_t *list,
                                int64_t now_ns);

/* The list of REVISION lacks SERVER.  */
void restored_note_absent (server_t *server, int64_t revision);

#endif
