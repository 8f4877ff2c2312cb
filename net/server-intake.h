/* server-intake.h - what the HTTP server holds for its callers, in the account
   of lib/intake/.

   All functions do nothing, and charges succeed, on a server without an
   account.  */

#ifndef KNAPWEEDFORK_NET_SERVER_INTAKE_H
#define KNAPWEEDFORK_NET_SERVER_INTAKE_H

#include <glib.h>

#include "server-internal.h"

/* libmicrohttpd opened CONNECTION.  */
void server_intake_open (server_connection_t *connection);
/* CONNECTION is closed; it is freed afterwards.  */
void server_intake_close (server_connection_t *connection);

/* Charges CONNECTION's request.  False: there is no room; the request is
   refused, or its answer has to be broken off by the caller of this.  */
bool server_hold (server_connection_t *connection, size_t bytes);
void server_release (server_connection_t *connection, size_t bytes);

void server_set_stage (server_connection_t *connection, intake_stage_t stage);
/* BYTES arrived from the caller or were read by it.  */
void server_progress (server_connection_t *connection, size_t bytes);

/* Whether CONNECTION's request was refused for its memory.  */
bool server_is_refused (const server_connection_t *connection);
/* The answer to it, by libmicrohttpd, if that can still send one.  */
enum MHD_Result server_answer_refused (server_request_state_t *request);

/* Ends the connections that were refused since the last call.  Must not be
   called from within libmicrohttpd.  */
void server_end_refused (server_t *server);

/* Frees the body of a request that is answered, with its charges.  */
void server_free_body (server_request_state_t *request);

/* Timer that closes refused connections.  */
void server_intake_start (server_t *server);
void server_intake_stop (server_t *server);

#endif
