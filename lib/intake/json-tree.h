/* json-tree.h - the memory that a JSON text needs while it is read.

   Load pattern: bodies within max_body_bytes that consist of a million empty
   objects or lists.  Read as a tree, 4 MiB of them took 320 MB.  */

#ifndef KNAPWEEDFORK_LIB_INTAKE_JSON_TREE_H
#define KNAPWEEDFORK_LIB_INTAKE_JSON_TREE_H

#include <stddef.h>

/* An estimate of what jansson allocates for TEXT, which need not be valid.  */
size_t json_tree_bytes (const char *text, size_t size);

#endif
