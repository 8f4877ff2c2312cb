/* Listeners of an instance, and the account of the memory that they share.  */

#include "instance-listen.h"

#include <sodium.h>
#include <string.h>
#include <sys/resource.h>

/* Of the descriptors of the process, in sixteenths: those of connections of
   callers, and of each of the ports for operators, readiness and the
   directory.  Three are left for servers, other instances and the store: 576
   of the 3,075 of the smallest instances, which have 93 servers and 77 other
   instances.  */
#define CALLERS_FDS_SHARE 10
#define SMALL_FDS_SHARE 1
#define FDS_SHARES 16

static unsigned
connections (const kwf_settings_t *settings, unsigned share)
{
  struct rlimit limit;
  rlim_t wanted = (rlim_t)settings->max_connections;
  if (getrlimit (RLIMIT_NOFILE, &limit) != 0
      || limit.rlim_cur == RLIM_INFINITY)
    return (unsigned)wanted;
  rlim_t most = MAX (limit.rlim_cur / FDS_SHARES * share, 1);
  if (share == CALLERS_FDS_SHARE && wanted > most)
    logging_event (311, KWF_LOG_WARNING,
                   "at most %lu connections of callers instead of %lu, since "
                   "the process may open %lu files",
                   (unsigned long)most, (unsigned long)wanted,
                   (unsigned long)limit.rlim_cur);
  return (unsigned)MIN (wanted, most);
}

intake_t *
listen_account (const kwf_settings_t *settings)
{
  size_t bytes = (size_t)settings->intake_mb << 20;
  if (!bytes)
    bytes = intake_default_bytes (settings->memory_mb,
                                  (size_t)settings->max_body_bytes);
  return server_intake_new (&(intake_limits_t){
      .total_bytes = bytes,
      .min_bytes_per_s = (size_t)settings->min_bytes_per_s });
}

/* PEM texts of a certificate and its key.  */
typedef struct
{
  char *certificate;
  char *key;
} pem_t;

static void
pem_clear (pem_t *pem)
{
  g_free (pem->certificate);
  if (pem->key)
    sodium_memzero (pem->key, strlen (pem->key));
  g_free (pem->key);
}

/* Reads both files.  CERTIFICATE NULL: there is nothing to read.  */
static bool
pem_read (pem_t *pem, const char *certificate, const char *key,
          kwf_error_t *error)
{
  *pem = (pem_t){ 0 };
  if (!certificate
      || (g_file_get_contents (certificate, &pem->certificate, NULL, NULL)
          && g_file_get_contents (key, &pem->key, NULL, NULL)))
    return true;
  kwf_fail (error, KWF_NOT_FOUND, "read TLS files",
            pem->certificate ? key : certificate, "cannot read the file");
  pem_clear (pem);
  return false;
}

server_t *
listen_callers (instance_t *instance, kwf_error_t *error)
{
  const kwf_settings_t *settings = instance->settings;
  pem_t pem;
  if (!pem_read (&pem, settings->tls_certificate, settings->tls_key, error))
    return NULL;
  server_t *server = server_start (
      instance->loop,
      &(server_options_t){
          .address = settings->caller_listen,
          .max_header_bytes = (size_t)settings->max_header_bytes,
          .max_body_bytes = (size_t)settings->max_body_bytes,
          .idle_s = (unsigned)((settings->idle_ms + 999) / 1000),
          .max_connections = connections (settings, CALLERS_FDS_SHARE),
          .intake = instance->intake,
          .max_pending_bytes = (size_t)settings->max_pending_bytes,
          .tls_certificate = pem.certificate,
          .tls_key = pem.key,
      },
      instance->protocol->callers, instance, error);
  pem_clear (&pem);
  return server;
}

server_t *
listen_operators (instance_t *instance, kwf_error_t *error)
{
  const kwf_settings_t *settings = instance->settings;
  pem_t pem;
  if (!pem_read (&pem, settings->operator_certificate, settings->operator_key,
                 error))
    return NULL;
  server_t *server = server_start (
      instance->loop,
      &(server_options_t){ .address = settings->operator_listen,
                           .max_connections
                           = connections (settings, SMALL_FDS_SHARE),
                           .intake = instance->intake,
                           .tls_certificate = pem.certificate,
                           .tls_key = pem.key },
      &operator_handler, instance, error);
  pem_clear (&pem);
  return server;
}

bool
listen_reload (server_t *server, const char *certificate, const char *key,
               kwf_error_t *error)
{
  pem_t pem;
  if (!certificate)
    return true;
  if (!pem_read (&pem, certificate, key, error))
    return false;
  bool good = server_set_certificate (server, pem.certificate, pem.key, error)
              == KWF_OK;
  if (!good)
    g_strlcpy (error->peer, certificate, sizeof error->peer);
  pem_clear (&pem);
  return good;
}

bool
listen_small (instance_t *instance, server_t **server, const char *address,
              const server_handler_t *handler, kwf_error_t *error)
{
  if (!handler || !address)
    return true;
  const kwf_settings_t *settings = instance->settings;
  *server = server_start (
      instance->loop,
      &(server_options_t){
          .address = address,
          .max_header_bytes = (size_t)settings->max_header_bytes,
          .max_body_bytes = (size_t)settings->max_body_bytes,
          .max_connections = connections (settings, SMALL_FDS_SHARE),
          .intake = instance->intake,
      },
      handler, instance, error);
  return *server != NULL;
}
