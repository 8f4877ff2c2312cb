/* peer-hello.h - handshake, authentication and encryption of links.

   The opener sends HELLO, the acceptor answers with HELLO, the opener sends
   PROOF, the acceptor checks it and answers with PROOF.  A proof is a keyed
   hash over the role of its sender and both HELLOs, so that it is of use
   neither on another link nor in the other direction.

   Each HELLO carries a public key that is made for this link alone.  Later
   frames are encrypted and authenticated with ChaCha20-Poly1305 under a key
   for each direction, made from the fleet key, the shared secret of the two
   key pairs and both HELLOs; the nonce is the number of the frame.  Frames
   recorded earlier stay secret when the fleet secret becomes known, because
   the private keys were never stored.  */

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
  HELLO_TYPE = 64, /* clear of kwf_message_type_t */
  PROOF_TYPE = 65,
  HELLO_MAX_BYTES = 512, /* of either frame */
  HELLO_MAX_ID = 128,
  HELLO_PUBLIC_BYTES = 32, /* X25519 */
  HELLO_KEY_BYTES = 32,
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

/* What both sides make the keys of a link from.  */
typedef struct
{
  const hello_t *opener;
  const hello_t *acceptor;
  unsigned char fleet_key[HELLO_KEY_BYTES];
  unsigned char shared[HELLO_KEY_BYTES]; /* of the two key pairs */
} link_secret_t;

/* Make KEY from the fleet secret.  */
void hello_fleet_key (unsigned char key[HELLO_KEY_BYTES],
                      const unsigned char *secret, size_t size);

/* Append a HELLO or PROOF frame without its length to OUT.  */
void hello_write (GByteArray *out, const hello_t *hello);
void proof_write (GByteArray *out, const unsigned char proof[HELLO_KEY_BYTES]);

bool hello_read (hello_t *hello, const void *bytes, size_t size,
                 kwf_error_t *error);
/* Read a PROOF and compare it with EXPECTED in constant time.  */
bool proof_read (const unsigned char expected[HELLO_KEY_BYTES],
                 const void *bytes, size_t size, kwf_error_t *error);

/* The proof that the side with ROLE sends.  */
void hello_proof (unsigned char proof[HELLO_KEY_BYTES],
                  const link_secret_t *secret, link_role_t role);

/* The key of the link for the frames that the side with ROLE sends.  */
void hello_session_key (unsigned char session[HELLO_KEY_BYTES],
                        const link_secret_t *secret, link_role_t role);

/* Make the key pair of a link.  */
void hello_make_key_pair (hello_t *hello,
                          unsigned char private_key[HELLO_KEY_BYTES]);

/* The shared secret with the other side's key pair; false when its public
   key is not valid.  */
bool hello_key_agreement (unsigned char shared[HELLO_KEY_BYTES],
                          const unsigned char private_key[HELLO_KEY_BYTES],
                          const hello_t *theirs);

/* Encrypt the SIZE bytes in place and write the tag behind them.  NUMBER is
   that of the frame in its direction.  */
void frame_seal (unsigned char *bytes, size_t size,
                 const unsigned char session[HELLO_KEY_BYTES],
                 uint64_t number);

/* Decrypt in place the SIZE bytes, with the tag behind them; false when they
   are not what frame_seal made.  */
bool frame_open (unsigned char *bytes, size_t size,
                 const unsigned char session[HELLO_KEY_BYTES],
                 uint64_t number);

#endif
