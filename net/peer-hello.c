#include "peer-hello.h"

#include <sodium.h>
#include <string.h>

#include "wire.h"

void
hello_fleet_key (unsigned char key[HELLO_KEY_BYTES],
                 const unsigned char *secret, size_t size)
{
  /* The fleet key, the proofs and the session keys are hashed with different
     labels, so that none of them can stand for another.  Both sides must use
     the same labels.  */
  static const char label[] = "knapweedfork link 1 key";
  crypto_generichash_state hash;
  crypto_generichash_init (&hash, NULL, 0, HELLO_KEY_BYTES);
  crypto_generichash_update (&hash, (const unsigned char *)label,
                             sizeof label);
  crypto_generichash_update (&hash, secret, size);
  crypto_generichash_final (&hash, key, HELLO_KEY_BYTES);
}

static void
add_uint (crypto_generichash_state *hash, uint64_t value)
{
  uint64_t bytes = GUINT64_TO_BE (value);
  crypto_generichash_update (hash, (const unsigned char *)&bytes,
                             sizeof bytes);
}

static void
add_hello (crypto_generichash_state *hash, const hello_t *hello)
{
  size_t length = strlen (hello->instance);
  add_uint (hash, length);
  crypto_generichash_update (hash, (const unsigned char *)hello->instance,
                             length);
  add_uint (hash, hello->incarnation);
  crypto_generichash_update (hash, hello->public_key,
                             sizeof hello->public_key);
}

static void
hash_secret (unsigned char *result, const link_secret_t *secret,
             const char *label, link_role_t role)
{
  unsigned char byte = (unsigned char)role;
  crypto_generichash_state hash;
  crypto_generichash_init (&hash, secret->fleet_key, HELLO_KEY_BYTES,
                           HELLO_KEY_BYTES);
  crypto_generichash_update (&hash, (const unsigned char *)label,
                             strlen (label) + 1);
  crypto_generichash_update (&hash, &byte, 1);
  crypto_generichash_update (&hash, secret->shared, sizeof secret->shared);
  add_hello (&hash, secret->opener);
  add_hello (&hash, secret->acceptor);
  crypto_generichash_final (&hash, result, HELLO_KEY_BYTES);
}

void
hello_proof (unsigned char proof[HELLO_KEY_BYTES], const link_secret_t *secret,
             link_role_t role)
{
  hash_secret (proof, secret, "knapweedfork link 1 proof", role);
}

void
hello_session_key (unsigned char session[HELLO_KEY_BYTES],
                   const link_secret_t *secret, link_role_t role)
{
  hash_secret (session, secret, "knapweedfork link 1 session", role);
}

void
hello_make_key_pair (hello_t *hello,
                     unsigned char private_key[HELLO_KEY_BYTES])
{
  randombytes_buf (private_key, HELLO_KEY_BYTES);
  crypto_scalarmult_base (hello->public_key, private_key);
}

bool
hello_key_agreement (unsigned char shared[HELLO_KEY_BYTES],
                     const unsigned char private_key[HELLO_KEY_BYTES],
                     const hello_t *theirs)
{
  return crypto_scalarmult (shared, private_key, theirs->public_key) == 0;
}

static void
frame_nonce (unsigned char nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES],
             uint64_t number)
{
  uint64_t bytes = GUINT64_TO_BE (number);
  memset (nonce, 0, crypto_aead_chacha20poly1305_ietf_NPUBBYTES);
  memcpy (nonce, &bytes, sizeof bytes);
}

void
frame_seal (unsigned char *bytes, size_t size,
            const unsigned char session[HELLO_KEY_BYTES], uint64_t number)
{
  unsigned char nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES];
  frame_nonce (nonce, number);
  crypto_aead_chacha20poly1305_ietf_encrypt_detached (
      bytes, bytes + size, NULL, bytes, size, NULL, 0, NULL, nonce, session);
}

bool
frame_open (unsigned char *bytes, size_t size,
            const unsigned char session[HELLO_KEY_BYTES], uint64_t number)
{
  unsigned char nonce[crypto_aead_chacha20poly1305_ietf_NPUBBYTES];
  frame_nonce (nonce, number);
  return crypto_aead_chacha20poly1305_ietf_decrypt_detached (
             bytes, NULL, bytes, size, bytes + size, NULL, 0, nonce, session)
         == 0;
}

void
hello_write (GByteArray *out, const hello_t *hello)
{
  wire_writer_t writer;
  wire_begin (&writer, out, HELLO_TYPE, 3);
  wire_put_text (&writer, hello->instance);
  wire_put_uint (&writer, hello->incarnation);
  wire_put_bytes (&writer, hello->public_key, sizeof hello->public_key);
}

void
proof_write (GByteArray *out, const unsigned char proof[HELLO_KEY_BYTES])
{
  wire_writer_t writer;
  wire_begin (&writer, out, PROOF_TYPE, 1);
  wire_put_bytes (&writer, proof, HELLO_KEY_BYTES);
}

bool
hello_read (hello_t *hello, const void *bytes, size_t size, kwf_error_t *error)
{
  msgpack_zone zone;
  wire_reader_t reader;
  msgpack_zone_init (&zone, HELLO_MAX_BYTES);
  memset (hello, 0, sizeof *hello);
  bool right = wire_open (&reader, bytes, size, &zone, error);
  if (right)
    {
      const char *instance = wire_get_text (&reader);
      hello->incarnation = wire_get_uint (&reader);
      wire_get_bytes (&reader, hello->public_key, sizeof hello->public_key);
      right = wire_close (&reader) && reader.type == HELLO_TYPE
              && strlen (instance) <= HELLO_MAX_ID;
      if (right)
        g_strlcpy (hello->instance, instance, sizeof hello->instance);
      else
        kwf_fail (error, KWF_INVALID, "greet", NULL, "malformed HELLO");
    }
  msgpack_zone_destroy (&zone);
  return right;
}

bool
proof_read (const unsigned char expected[HELLO_KEY_BYTES], const void *bytes,
            size_t size, kwf_error_t *error)
{
  msgpack_zone zone;
  wire_reader_t reader;
  unsigned char proof[HELLO_KEY_BYTES];
  msgpack_zone_init (&zone, HELLO_MAX_BYTES);
  bool right = wire_open (&reader, bytes, size, &zone, error);
  if (right)
    {
      wire_get_bytes (&reader, proof, sizeof proof);
      right = wire_close (&reader) && reader.type == PROOF_TYPE;
      if (!right)
        kwf_fail (error, KWF_INVALID, "greet", NULL, "malformed PROOF");
      else if (sodium_memcmp (proof, expected, sizeof proof) != 0)
        {
          right = false;
          kwf_fail (error, KWF_DENIED, "greet", NULL,
                    "the proof of the fleet secret is wrong");
        }
    }
  msgpack_zone_destroy (&zone);
  return right;
}
