/* tls.h - certificate of a TLS listener, which can be replaced while it runs.

   A handshake uses one certificate from its start to its end, and established
   connections keep their session.  */

#ifndef KNAPWEEDFORK_NET_TLS_H
#define KNAPWEEDFORK_NET_TLS_H

#include <gnutls/abstract.h>
#include <gnutls/gnutls.h>

#include <knapweedfork/status.h>

typedef struct tls tls_t;

tls_t *tls_new (void);
void tls_free (tls_t *tls);

/* Uses this certificate chain and private key, PEM texts, from the next
   handshake on.  KWF_INVALID: one is malformed, or the key is not that of the
   certificate; nothing changed.  */
kwf_status_t tls_set_certificate (tls_t *tls, const char *certificate,
                                  const char *key, kwf_error_t *error);

/* Sets the TLS of the listener whose handshakes run next; NULL: none.  GnuTLS
   passes no data to tls_choose_certificate, but all listeners run on one
   thread.  */
void tls_set_current (tls_t *tls);

/* The gnutls_certificate_retrieve_function2 of all listeners: returns the
   certificate of the listener set by tls_set_current.  */
int tls_choose_certificate (gnutls_session_t session,
                            const gnutls_datum_t *authorities,
                            int n_authorities,
                            const gnutls_pk_algorithm_t *algorithms,
                            int n_algorithms, gnutls_pcert_st **chain,
                            unsigned int *n_chain, gnutls_privkey_t *key);

#endif
