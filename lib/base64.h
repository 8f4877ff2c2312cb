/* base64.h - strict decoding of base64.  */

#ifndef KNAPWEEDFORK_BASE64_H
#define KNAPWEEDFORK_BASE64_H

#include <stddef.h>

/* Decodes TEXT to *SIZE bytes, with a zero byte behind them.  NULL: TEXT is
   not base64 as a whole, with its padding.  Free with g_free.  */
char *base64_decode (const char *text, size_t *size);

#endif
