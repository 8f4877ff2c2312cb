/* peer-hello.h - handshake, authentication and encryption of links between
   instances.

   The opener of the connection sends HELLO, the acceptor answers with HELLO,
   the opener sends PROOF, and the acceptor checks it and answers with PROOF.
   A proof is a keyed hash over the role of its sender and both HELLOs, so that
   it is valid neither on another link nor in the other direction.

   Each HELLO has a public key that is made for this link alone.  Later frames
   are encrypted and authenticated with ChaCha20-Poly1305.  There is one key
   for each direction, derived from the fleet key, the shared secret of the two
   key pairs and both HELLOs; the nonce is the number of the frame.  Recorded
   frames stay secret when the fleet secret becomes known later, because the
   private keys were never stored.  */

#ifndef KNAPWEEDFORK_NET_PEER_HELLO_H
#define KNAPWEEDFORK_NET_PEER_HELLO_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <knapweedfork/status.h>

#include "message.h"

enum
{
  HELLO_TYPE = 64, /* outside the values of kwf_message_type_t */
  PROOF_TYPE = 65,
  HELLO_MAX_BYTES = 512, /* of a HELLO or PROOF frame */
  HELLO_MAX_ID = 128,
  HELLO_PUBLIC_BYTES = 32, /* X25519 public key */
  HELLO_KEY_BYTES = 32,    /* of a key or a proof */
  HELLO_MIN_SECRET = 16
};

typedef enum
{
  LINK_ROLE_OPENER = 'o',
  LINK_ROLE_ACCEPTOR = 'a'
} link_role_t;

typedef struct
{
  char instance[HELLO_MAX_ID + 1];
  uint64_t incarnation;
  unsigned char public_key[HELLO_PUBLIC_BYTES];
} hello_t;

/* Inputs of the proofs and session keys of a link; the same on both sides.  */
typedef struct
{
  const hello_t *opener;
  const hello_t *acceptor;
  unsigned char fleet_key[HELLO_KEY_BYTES];
  unsigned char shared[HELLO_KEY_BYTES]; /* X25519 shared secret of the two key
                                            pairs */
} link_secret_t;

/* Derives the fleet key from a fleet secret.  The fleet is all instances that
   share fleet secrets.  The key goes into the proofs and session keys; HELLO
   does not use it.  */
void hello_fleet_key (unsigned char key[HELLO_KEY_BYTES],
                      const unsigned char *secret, size_t size);

/* Appends a HELLO or PROOF frame, without its length prefix, to OUT.  */
void hello_write (GByteArray *out, const hello_t *hello);
void proof_write (GByteArray *out, const unsigned char proof[HELLO_KEY_BYTES]);

bool hello_read (hello_t *hello, const void *bytes, size_t size,
                 kwf_error_t *error);
/* Reads a PROOF frame and compares its proof with EXPECTED in constant
   time.  */
bool proof_read (const unsigned char expected[HELLO_KEY_BYTES],
                 const void *bytes, size_t size, kwf_error_t *error);

/* Computes the proof that the side with ROLE sends.  */
void hello_proof (unsigned char proof[HELLO_KEY_BYTES],
                  const link_secret_t *secret, link_role_t role);

/* Derives the session key for the frames that the side with ROLE sends.  */
void hello_session_key (unsigned char session[HELLO_KEY_BYTES],
                        const link_secret_t *secret, link_role_t role);

/* Makes a key pair for one link: the public key goes to HELLO, the private key
   to PRIVATE_KEY.  */
void hello_make_key_pair (hello_t *hello,
                          unsigned char private_key[HELLO_KEY_BYTES]);

/* Computes the X25519 shared secret of PRIVATE_KEY and the other side's public
   key; false when that public key is not valid.  */
bool hello_key_agreement (unsigned char shared[HELLO_KEY_BYTES],
                          const unsigned char private_key[HELLO_KEY_BYTES],
                          const hello_t *theirs);

/* Encrypts the SIZE bytes in place and writes the tag after them.  NUMBER
   counts the frames of this direction.  */
void frame_seal (unsigned char *bytes, size_t size,
                 const unsigned char session[HELLO_KEY_BYTES],
                 uint64_t number);

/* Decrypts the SIZE bytes in place, with the tag after them.  Returns false
   when they are not the result of frame_seal with the same key and number.  */
bool frame_open (unsigned char *bytes, size_t size,
                 const unsigned char session[HELLO_KEY_BYTES],
                 uint64_t number);

#endif
