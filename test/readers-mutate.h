/* readers-mutate.h - seeded mutations of the input of readers.  */

#ifndef KNAPWEEDFORK_TEST_READERS_MUTATE_H
#define KNAPWEEDFORK_TEST_READERS_MUTATE_H

#include <glib.h>

/* Changes TEXT one to four times: flips a bit, cuts, doubles or removes a
   piece, inserts a piece of OTHER, brackets, a zero byte or any byte, and
   replaces a number or a JSON value by an extreme or another type.  */
void mutate (GRand *random, GString *text, const GString *other);

/* The same, so that a text that is JSON stays so: only numbers and values are
   replaced.  */
void mutate_json (GRand *random, GString *text);

#endif
