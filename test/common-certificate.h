/* common-certificate.h - a self-signed certificate for tests of TLS.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_CERTIFICATE_H
#define KNAPWEEDFORK_TEST_COMMON_CERTIFICATE_H

#include <stdbool.h>

/* Makes a key and a certificate for 127.0.0.1, valid for an hour, as PEM
   texts; release them with g_free.  */
bool certificate_make (char **certificate, char **key);

#endif
