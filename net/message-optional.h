/* message-optional.h - optional last fields of the messages on limits.

   An instance without servers that are cold or have just started neither sends
   nor expects any.  */

#ifndef KNAPWEEDFORK_NET_MESSAGE_OPTIONAL_H
#define KNAPWEEDFORK_NET_MESSAGE_OPTIONAL_H

#include "wire.h"

/* Of one message at most.  */
#define MESSAGE_OPTIONAL 3

/* Sets VALUES to the optional fields of MESSAGE.  Returns their number up to
   the last one that is not 0.  */
size_t message_collect_optional (const kwf_message_t *message,
                                 int64_t *values);
/* Reads those that are there into MESSAGE, whose other fields were read.  */
void message_read_optional (wire_reader_t *reader, kwf_message_t *message);

#endif
