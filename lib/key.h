/* key.h - callers' keys.

   A key is "kwf_" and 43 characters of base64url (256 random bits).  Only
   keyed digests of keys are stored or compared.  */

#ifndef KNAPWEEDFORK_KEY_H
#define KNAPWEEDFORK_KEY_H

#include <stdbool.h>
#include <stddef.h>

#include <knapweedfork/clock.h>

#define KEY_TEXT_SIZE 48   /* with the final zero byte */
#define KEY_DIGEST_SIZE 65 /* hex of 32 bytes, with the final zero byte */

/* Write a new key to TEXT.  */
void key_generate (kwf_random_t *random, char text[KEY_TEXT_SIZE]);

/* Write the digest of KEY under the fleet's PEPPER.  */
void key_digest (const unsigned char *pepper, size_t pepper_size,
                 const char *key, char digest[KEY_DIGEST_SIZE]);

/* Key after "Bearer " in an Authorization header, or NULL.  */
const char *key_from_authorization (const char *value);

/* Whether KEY occurs in TEXT, plainly or percent-encoded.  */
bool key_occurs (const char *key, const char *text, size_t size);

/* Whether TEXT, plainly or percent-encoded, contains anything that has the
   shape of a key, known or not.  */
bool key_pattern_occurs (const char *text, size_t size);

/* Whether KEY (NULL: none) or anything that has the shape of a key occurs in
   TEXT.  */
bool key_or_pattern_occurs (const char *key, const char *text, size_t size);

/* Copy QUERY without the parameters that contain KEY (NULL: none) or
   anything that has the shape of a key; free with g_free.  */
char *key_strip_query (const char *key, const char *query);

#endif
