#include "wire.h"

#include <math.h>
#include <string.h>

/* msgpack-c allocates an array when it reads its length, before any item.
   Therefore its parser template runs first with the callbacks below, which
   store nothing.  They refuse lengths that the frame cannot hold, types that
   no message has, and arrays nested more than three deep: a frame may have an
   array of rows, and each row is an array.  */
#define MSGPACK_EMBED_STACK_SIZE 3
#include <msgpack/unpack_define.h>

typedef struct
{
  size_t items; /* sum of the declared lengths of all arrays so far */
  size_t limit; /* of items: the bytes of the frame */
} check_t;

static int
add_array_items (check_t *check, size_t count)
{
  check->items += count;
  return check->items > check->limit ? -1 : 0;
}

/* The template defines struct check_context, check_init and check_execute.  */
#define msgpack_unpack_struct(name) struct check##name
#define msgpack_unpack_func(result, name)                                     \
  G_GNUC_UNUSED static result check##name
#define msgpack_unpack_callback(name) on##name
#define msgpack_unpack_object int
#define msgpack_unpack_user check_t

#define on_root(user) 0
#define on_nil(user, object) (*(object) = 0)
#define on_true(user, object) (*(object) = 0)
#define on_false(user, object) (*(object) = 0)
#define on_uint8(user, value, object) ((void)(value), *(object) = 0)
#define on_uint16(user, value, object) ((void)(value), *(object) = 0)
#define on_uint32(user, value, object) ((void)(value), *(object) = 0)
#define on_uint64(user, value, object) ((void)(value), *(object) = 0)
#define on_int8(user, value, object) ((void)(value), *(object) = 0)
#define on_int16(user, value, object) ((void)(value), *(object) = 0)
#define on_int32(user, value, object) ((void)(value), *(object) = 0)
#define on_int64(user, value, object) ((void)(value), *(object) = 0)
#define on_double(user, value, object) ((void)(value), *(object) = 0)
#define on_float(user, value, object) ((void)(value), -1)
#define on_str(user, base, place, size, object) (*(object) = 0)
#define on_bin(user, base, place, size, object) (*(object) = 0)
#define on_ext(user, base, place, size, object) (-1)
#define on_array(user, count, object)                                         \
  (*(object) = add_array_items ((user), (count)))
#define on_array_item(user, container, object) (0)
#define on_map(user, count, object) (-1)
#define on_map_item(user, container, key, object) (-1)

#include <msgpack/unpack_template.h>

static bool
is_well_formed (const char *bytes, size_t size)
{
  struct check_context context;
  memset (&context, 0, sizeof context);
  check_init (&context);
  context.user.limit = size;
  size_t offset = 0;
  return check_execute (&context, bytes, size, &offset) == 1 && offset == size;
}

bool
wire_open (wire_reader_t *reader, const void *bytes, size_t size,
           msgpack_zone *zone, kwf_error_t *error)
{
  memset (reader, 0, sizeof *reader);
  reader->zone = zone;
  size_t offset = 0;
  if (size == 0 || !is_well_formed (bytes, size))
    {
      kwf_fail (error, KWF_INVALID, "read frame", NULL,
                "not one msgpack array of the expected form");
      return false;
    }
  msgpack_unpacked_init (&reader->unpacked);
  if (msgpack_unpack_next (&reader->unpacked, bytes, size, &offset)
          == MSGPACK_UNPACK_SUCCESS
      && reader->unpacked.data.type == MSGPACK_OBJECT_ARRAY)
    reader->items = reader->unpacked.data.via.array;
  else
    reader->failed = true;
  int64_t version = wire_get_int (reader);
  reader->type = wire_get_int (reader);
  if (!reader->failed && version == KWF_MESSAGE_VERSION)
    return true;
  if (reader->failed)
    kwf_fail (error, KWF_INVALID, "read frame", NULL,
              "no version and type at the start");
  else
    kwf_fail (error, KWF_INVALID, "read frame", NULL,
              "message version %lld instead of %d", (long long)version,
              KWF_MESSAGE_VERSION);
  msgpack_unpacked_destroy (&reader->unpacked);
  return false;
}

bool
wire_close (wire_reader_t *reader)
{
  bool right = !reader->failed && reader->next == reader->items.size;
  msgpack_unpacked_destroy (&reader->unpacked);
  return right;
}

/* Returns the next field if it is of TYPE.  Otherwise the reader fails and
   NULL is returned.  */
static const msgpack_object *
take_item (wire_reader_t *reader, msgpack_object_type type)
{
  if (!reader->failed && reader->next < reader->items.size
      && reader->items.ptr[reader->next].type == type)
    return &reader->items.ptr[reader->next++];
  reader->failed = true;
  return NULL;
}

bool
wire_has_more (const wire_reader_t *reader)
{
  return !reader->failed && reader->next < reader->items.size;
}

static bool
next_is (const wire_reader_t *reader, msgpack_object_type type)
{
  return !reader->failed && reader->next < reader->items.size
         && reader->items.ptr[reader->next].type == type;
}

int64_t
wire_get_int (wire_reader_t *reader)
{
  if (next_is (reader, MSGPACK_OBJECT_NEGATIVE_INTEGER))
    return take_item (reader, MSGPACK_OBJECT_NEGATIVE_INTEGER)->via.i64;
  uint64_t value = wire_get_uint (reader);
  if (value <= INT64_MAX)
    return (int64_t)value;
  reader->failed = true;
  return 0;
}

uint64_t
wire_get_uint (wire_reader_t *reader)
{
  const msgpack_object *item
      = take_item (reader, MSGPACK_OBJECT_POSITIVE_INTEGER);
  return item ? item->via.u64 : 0;
}

bool
wire_get_bool (wire_reader_t *reader)
{
  const msgpack_object *item = take_item (reader, MSGPACK_OBJECT_BOOLEAN);
  return item && item->via.boolean;
}

static bool
is_amount (double value)
{
  return isfinite (value) && value >= 0;
}

double
wire_get_amount (wire_reader_t *reader)
{
  const msgpack_object *item = take_item (reader, MSGPACK_OBJECT_FLOAT64);
  if (item && is_amount (item->via.f64))
    return item->via.f64;
  reader->failed = true;
  return 0;
}

static const char *
read_text (wire_reader_t *reader, size_t least, size_t most)
{
  const msgpack_object *item = take_item (reader, MSGPACK_OBJECT_STR);
  if (!item)
    return "";
  size_t size = item->via.str.size;
  /* g_utf8_validate_len refuses zero bytes as well.  */
  char *text = NULL;
  if (size >= least && size <= most
      && g_utf8_validate_len (item->via.str.ptr, size, NULL))
    text = msgpack_zone_malloc_no_align (reader->zone, size + 1);
  if (!text)
    {
      reader->failed = true;
      return "";
    }
  /* msgpack-c gives no address for an empty string at the end of a frame.  */
  if (size)
    memcpy (text, item->via.str.ptr, size);
  text[size] = 0;
  return text;
}

const char *
wire_get_text (wire_reader_t *reader)
{
  return read_text (reader, 1, WIRE_MAX_TEXT);
}

const char *
wire_get_text_or_empty (wire_reader_t *reader)
{
  return read_text (reader, 0, WIRE_MAX_TEXT);
}

const char *
wire_get_value (wire_reader_t *reader)
{
  if (!next_is (reader, MSGPACK_OBJECT_NIL))
    return read_text (reader, 0, WIRE_MAX_VALUE);
  take_item (reader, MSGPACK_OBJECT_NIL);
  return NULL;
}

void
wire_get_bytes (wire_reader_t *reader, void *bytes, size_t size)
{
  const msgpack_object *item = take_item (reader, MSGPACK_OBJECT_BIN);
  memset (bytes, 0, size);
  if (item && item->via.bin.size == size)
    memcpy (bytes, item->via.bin.ptr, size);
  else
    reader->failed = true;
}

uint32_t
wire_enter (wire_reader_t *reader, wire_reader_t *outer)
{
  const msgpack_object *item = take_item (reader, MSGPACK_OBJECT_ARRAY);
  *outer = *reader;
  reader->items = item ? item->via.array : (msgpack_object_array){ 0 };
  reader->next = 0;
  return reader->items.size;
}

void
wire_leave (wire_reader_t *reader, const wire_reader_t *outer)
{
  if (reader->next != reader->items.size)
    reader->failed = true;
  reader->items = outer->items;
  reader->next = outer->next;
}

static int
append (void *data, const char *bytes, size_t size)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)size);
  return 0;
}

void
wire_begin (wire_writer_t *writer, GByteArray *out, int64_t type,
            size_t fields)
{
  writer->out = out;
  writer->failed = false;
  msgpack_packer_init (&writer->packer, out, append);
  wire_put_array (writer, fields + 2);
  wire_put_int (writer, KWF_MESSAGE_VERSION);
  wire_put_int (writer, type);
}

void
wire_put_array (wire_writer_t *writer, size_t items)
{
  msgpack_pack_array (&writer->packer, items);
}

void
wire_put_int (wire_writer_t *writer, int64_t value)
{
  msgpack_pack_int64 (&writer->packer, value);
}

void
wire_put_uint (wire_writer_t *writer, uint64_t value)
{
  msgpack_pack_uint64 (&writer->packer, value);
}

void
wire_put_bool (wire_writer_t *writer, bool value)
{
  if (value)
    msgpack_pack_true (&writer->packer);
  else
    msgpack_pack_false (&writer->packer);
}

void
wire_put_amount (wire_writer_t *writer, double value)
{
  if (!is_amount (value))
    writer->failed = true;
  msgpack_pack_double (&writer->packer, value);
}

static void
put_text (wire_writer_t *writer, const char *text, size_t least, size_t most)
{
  size_t size = text ? strlen (text) : 0;
  if (!text || size < least || size > most
      || !g_utf8_validate (text, (gssize)size, NULL))
    {
      writer->failed = true;
      return;
    }
  msgpack_pack_str (&writer->packer, size);
  msgpack_pack_str_body (&writer->packer, text, size);
}

void
wire_put_text (wire_writer_t *writer, const char *text)
{
  put_text (writer, text, 1, WIRE_MAX_TEXT);
}

void
wire_put_text_or_empty (wire_writer_t *writer, const char *text)
{
  put_text (writer, text, 0, WIRE_MAX_TEXT);
}

void
wire_put_value (wire_writer_t *writer, const char *text)
{
  if (text)
    put_text (writer, text, 0, WIRE_MAX_VALUE);
  else
    msgpack_pack_nil (&writer->packer);
}

void
wire_put_bytes (wire_writer_t *writer, const void *bytes, size_t size)
{
  msgpack_pack_bin (&writer->packer, size);
  msgpack_pack_bin_body (&writer->packer, bytes, size);
}
