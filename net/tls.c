#include "tls.h"

#include <glib.h>
#include <string.h>

enum
{
  CHAIN_MAX = 16,
  /* Handshakes that run may still use the certificate before the last change.
     Older certificates are not in use any more: operators change certificates
     days apart, and handshakes time out before that.  */
  KEPT_IDENTITIES = 2
};

typedef struct
{
  gnutls_pcert_st chain[CHAIN_MAX];
  unsigned n_chain;
  gnutls_privkey_t key;
} identity_t;

struct tls
{
  identity_t *identities[KEPT_IDENTITIES]; /* newest first */
};

static tls_t *current;

static void
identity_free (identity_t *identity)
{
  if (!identity)
    return;
  for (unsigned i = 0; i < identity->n_chain; i++)
    gnutls_pcert_deinit (&identity->chain[i]);
  if (identity->key)
    gnutls_privkey_deinit (identity->key);
  g_free (identity);
}

tls_t *
tls_new (void)
{
  return g_new0 (tls_t, 1);
}

void
tls_free (tls_t *tls)
{
  if (!tls)
    return;
  if (current == tls)
    current = NULL;
  for (size_t i = 0; i < KEPT_IDENTITIES; i++)
    identity_free (tls->identities[i]);
  g_free (tls);
}

static gnutls_datum_t
datum (const char *text)
{
  return (gnutls_datum_t){ .data = (unsigned char *)text,
                           .size = (unsigned)strlen (text) };
}

/* Whether KEY signs for CERTIFICATE; negative: a GnuTLS error.  */
static int
check_pair (gnutls_pcert_st *certificate, gnutls_privkey_t key)
{
  static const gnutls_datum_t sample = { (unsigned char *)"pair", 4 };
  gnutls_datum_t signature = { NULL, 0 };
  gnutls_digest_algorithm_t digest;
  unsigned mandatory;
  int code = gnutls_pubkey_get_preferred_hash_algorithm (certificate->pubkey,
                                                         &digest, &mandatory);
  if (code >= 0)
    code = gnutls_privkey_sign_data (key, digest, 0, &sample, &signature);
  if (code >= 0)
    code = gnutls_pubkey_verify_data2 (
        certificate->pubkey,
        gnutls_pk_to_sign (gnutls_privkey_get_pk_algorithm (key, NULL),
                           digest),
        0, &sample, &signature);
  gnutls_free (signature.data);
  return code;
}

static int
identity_read (identity_t *identity, const char *certificate, const char *key)
{
  gnutls_datum_t chain = datum (certificate);
  gnutls_datum_t secret = datum (key);
  unsigned n = CHAIN_MAX;
  int code = gnutls_pcert_list_import_x509_raw (
      identity->chain, &n, &chain, GNUTLS_X509_FMT_PEM,
      GNUTLS_X509_CRT_LIST_IMPORT_FAIL_IF_EXCEED);
  if (code < 0)
    return code;
  identity->n_chain = n;
  code = gnutls_privkey_init (&identity->key);
  if (code >= 0)
    code = gnutls_privkey_import_x509_raw (identity->key, &secret,
                                           GNUTLS_X509_FMT_PEM, NULL, 0);
  return code < 0 ? code : check_pair (&identity->chain[0], identity->key);
}

kwf_status_t
tls_set_certificate (tls_t *tls, const char *certificate, const char *key,
                     kwf_error_t *error)
{
  identity_t *identity = g_new0 (identity_t, 1);
  int code = identity_read (identity, certificate, key);
  if (code < 0)
    {
      identity_free (identity);
      return kwf_fail (error, KWF_INVALID, "read TLS certificate", NULL, "%s",
                       gnutls_strerror (code));
    }
  identity_free (tls->identities[KEPT_IDENTITIES - 1]);
  for (size_t i = KEPT_IDENTITIES - 1; i > 0; i--)
    tls->identities[i] = tls->identities[i - 1];
  tls->identities[0] = identity;
  return KWF_OK;
}

void
tls_set_current (tls_t *tls)
{
  current = tls;
}

int
tls_choose_certificate (gnutls_session_t session,
                        const gnutls_datum_t *authorities, int n_authorities,
                        const gnutls_pk_algorithm_t *algorithms,
                        int n_algorithms, gnutls_pcert_st **chain,
                        unsigned int *n_chain, gnutls_privkey_t *key)
{
  (void)session;
  (void)authorities;
  (void)n_authorities;
  (void)algorithms;
  (void)n_algorithms;
  if (!current || !current->identities[0])
    return -1;
  *chain = current->identities[0]->chain;
  *n_chain = current->identities[0]->n_chain;
  *key = current->identities[0]->key;
  return 0;
}
