/* wire.h - strict reader and writer of the msgpack arrays that instances send
   to each other.

   A frame is an array [version, type, fields...].  */

#ifndef KNAPWEEDFORK_NET_WIRE_H
#define KNAPWEEDFORK_NET_WIRE_H

#include <glib.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/message.h>
#include <knapweedfork/status.h>

enum
{
  WIRE_MAX_TEXT = 1024, /* bytes of a string, except for wire_get_value */
  WIRE_MAX_VALUE = KWF_MESSAGE_MAX_BYTES
};

/* Reader of one array.  It fails at a field that is missing, of a wrong type
   or outside the range of the function.  From then on all functions return 0,
   false or an empty string, so that it is enough to check wire_close.  */
typedef struct
{
  msgpack_unpacked unpacked;
  msgpack_object_array items;
  uint32_t next;
  bool failed;
  msgpack_zone *zone; /* memory for strings and rows */
  int64_t type;
} wire_reader_t;

/* Opens the SIZE bytes of a frame and reads version and type.  Returns false
   and fills ERROR when they are not one array of the right version, are nested
   too deeply, or have bytes missing or left over.  The reader must be closed
   only after true.  */
bool wire_open (wire_reader_t *reader, const void *bytes, size_t size,
                msgpack_zone *zone, kwf_error_t *error);

/* Closes the reader.  Returns whether all fields were read and none was
   wrong.  */
bool wire_close (wire_reader_t *reader);

/* Whether the message has further fields, for those that are optional.  */
bool wire_has_more (const wire_reader_t *reader);

int64_t wire_get_int (wire_reader_t *reader);
uint64_t wire_get_uint (wire_reader_t *reader);
bool wire_get_bool (wire_reader_t *reader);
/* A finite number that is not negative.  */
double wire_get_amount (wire_reader_t *reader);
/* A string of 1 to WIRE_MAX_TEXT bytes of UTF-8 without zero bytes.  */
const char *wire_get_text (wire_reader_t *reader);
/* The same, or an empty string.  */
const char *wire_get_text_or_empty (wire_reader_t *reader);
/* A string of up to WIRE_MAX_VALUE bytes of UTF-8; NULL: the field is nil.  */
const char *wire_get_value (wire_reader_t *reader);
/* Binary data of exactly SIZE bytes.  */
void wire_get_bytes (wire_reader_t *reader, void *bytes, size_t size);
/* Enters a nested array and returns its length.  OUTER keeps the position for
   wire_leave.  */
uint32_t wire_enter (wire_reader_t *reader, wire_reader_t *outer);
void wire_leave (wire_reader_t *reader, const wire_reader_t *outer);

/* Writer that appends to a byte array.  An amount or text that the reader
   would refuse sets FAILED, which is checked at the end.  wire_put_bytes
   does not check SIZE, which the reader must expect.  */
typedef struct
{
  msgpack_packer packer;
  GByteArray *out;
  bool failed;
} wire_writer_t;

/* Starts a frame of TYPE with FIELDS fields after version and type.  */
void wire_begin (wire_writer_t *writer, GByteArray *out, int64_t type,
                 size_t fields);
void wire_put_array (wire_writer_t *writer, size_t items);
void wire_put_int (wire_writer_t *writer, int64_t value);
void wire_put_uint (wire_writer_t *writer, uint64_t value);
void wire_put_bool (wire_writer_t *writer, bool value);
void wire_put_amount (wire_writer_t *writer, double value);
void wire_put_text (wire_writer_t *writer, const char *text);
void wire_put_text_or_empty (wire_writer_t *writer, const char *text);
void wire_put_value (wire_writer_t *writer, const char *text);
void wire_put_bytes (wire_writer_t *writer, const void *bytes, size_t size);

#endif
