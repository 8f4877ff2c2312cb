/* instance-listen.h - the listeners of an instance.  */

#ifndef KNAPWEEDFORK_NET_INSTANCE_LISTEN_H
#define KNAPWEEDFORK_NET_INSTANCE_LISTEN_H

#include "instance-internal.h"

/* The account of what the instance holds for callers; release it with
   intake_free, after the listeners.  */
intake_t *listen_account (const kwf_settings_t *settings);

/* NULL: ERROR is filled.  */
server_t *listen_callers (instance_t *instance, kwf_error_t *error);
server_t *listen_operators (instance_t *instance, kwf_error_t *error);

/* Starts the listener *SERVER at ADDRESS, with the default time-outs and
   without TLS.  Does nothing when HANDLER or ADDRESS is NULL.  */
bool listen_small (instance_t *instance, server_t **server,
                   const char *address, const server_handler_t *handler,
                   kwf_error_t *error);

/* Reads the certificate of SERVER again.  CERTIFICATE NULL: there is none.  */
bool listen_reload (server_t *server, const char *certificate, const char *key,
                    kwf_error_t *error);

#endif
