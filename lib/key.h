/* key.h - callers' API keys.

   A key is "kwf_" followed by 43 characters of base64url (256 random bits).
   Instances keep only the digests of valid keys, and find a caller's
   organisation by the digest of its key.  The digest depends on a secret, the
   pepper.  It is the value of the setting pepper_file in [keys], the same at
   all instances; without this setting each instance has a random one.

   Some functions take a KEY in clear, to find it in other text.  */

#ifndef KNAPWEEDFORK_KEY_H
#define KNAPWEEDFORK_KEY_H

#include <stdbool.h>
#include <stddef.h>

#include <knapweedfork/clock.h>

#define KEY_TEXT_SIZE 48   /* including the final zero byte */
#define KEY_DIGEST_SIZE 65 /* hexadecimal, including the final zero byte */

/* Write a new key to TEXT.  */
void key_generate (kwf_random_t *random, char text[KEY_TEXT_SIZE]);

/* Write the digest of KEY, which depends on the secret PEPPER.  */
void key_digest (const unsigned char *pepper, size_t pepper_size,
                 const char *key, char digest[KEY_DIGEST_SIZE]);

/* Key of an Authorization header's value, that is, the text after "Bearer ";
   NULL if there is none.  */
const char *key_from_authorization (const char *value);

/* Whether KEY occurs in TEXT, as it is or percent-encoded.  */
bool key_occurs (const char *key, const char *text, size_t size);

/* Whether TEXT, as it is or percent-encoded, contains anything that has the
   form of a key, whether or not such a key exists.  */
bool key_pattern_occurs (const char *text, size_t size);

/* Whether TEXT contains KEY (NULL: none) or anything that has the form of a
   key.  */
bool key_or_pattern_occurs (const char *key, const char *text, size_t size);

/* Copy QUERY without the parameters that contain KEY (NULL: none) or anything
   that has the form of a key; free with g_free.  If the rest as a whole still
   contains a key, the copy is empty.  */
char *key_strip_query (const char *key, const char *query);

#endif
