/* message.h - encoding of the messages between instances as msgpack
   arrays.  */

#ifndef KNAPWEEDFORK_NET_MESSAGE_H
#define KNAPWEEDFORK_NET_MESSAGE_H

#include <glib.h>
#include <msgpack.h>
#include <stddef.h>

#include <knapweedfork/message.h>
#include <knapweedfork/status.h>

enum
{
  MESSAGE_MAX_FRAME = KWF_MESSAGE_MAX_BYTES,
  MESSAGE_AUTH_TAG_BYTES = 16, /* authentication tag of the encryption, at the
                             end of a frame and counted in its length */
  MESSAGE_MAX_ENCODED = MESSAGE_MAX_FRAME - MESSAGE_AUTH_TAG_BYTES
};

/* Appends the encoded MESSAGE to OUT.  KWF_INVALID: a text is missing, too
   long or not UTF-8, or an amount is negative or not finite.  KWF_LIMIT: more
   than MESSAGE_MAX_ENCODED bytes.  OUT is unchanged after a failure.  */
kwf_status_t message_encode (GByteArray *out, const kwf_message_t *message);

/* Decodes the SIZE bytes of one message.  Strings and rows are allocated in
   ZONE, which the caller clears or frees.  KWF_NOT_FOUND: the type is not
   known; a newer build may have sent it.  KWF_INVALID: message_encode would
   not have written these bytes.  */
kwf_status_t message_decode (kwf_message_t *message, const void *bytes,
                             size_t size, msgpack_zone *zone,
                             kwf_error_t *error);

#endif
