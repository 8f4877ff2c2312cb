/* common-tokens.h - the tokens that the engine stand-in generates.

   Token I of an answer depends only on I, the model, the adapter and the
   prompt, so that tests can check any stream, also a resumed one.  */

#ifndef KNAPWEEDFORK_STANDIN_COMMON_TOKENS_H
#define KNAPWEEDFORK_STANDIN_COMMON_TOKENS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* Longest token with its zero byte.  */
#define TOKEN_SIZE 32

/* The prompt of a completion as one text: the field "prompt", or the contents
   of all messages, each followed by a line feed.  */
GString *tokens_prompt (const json_t *body, bool chat);

/* Number of tokens of a text of SIZE bytes: one for each four bytes or part of
   them.  */
int64_t tokens_count (size_t size);

/* ADAPTER may be NULL or empty.  */
uint64_t tokens_seed (const char *model, const char *adapter,
                      const char *prompt);

/* Write token INDEX, such as " 17.3fa", and return its length.  It needs no
   escape in JSON.  */
size_t tokens_write (char text[TOKEN_SIZE], uint64_t seed, int64_t index);

#endif
