/* message-parts.h - the fields of messages that have several, encoded and
   decoded; message.c calls them by the type of a message.  */

#ifndef KNAPWEEDFORK_NET_MESSAGE_PARTS_H
#define KNAPWEEDFORK_NET_MESSAGE_PARTS_H

#include <knapweedfork/message.h>

#include "wire.h"

void message_put_rows (wire_writer_t *writer, const kwf_row_t *rows,
                       size_t n_rows);
const kwf_row_t *message_read_rows (wire_reader_t *reader, size_t *n_rows);
void message_put_renew (wire_writer_t *writer, const kwf_renew_t *renew);
void message_read_renew (wire_reader_t *reader, kwf_renew_t *renew);
void message_put_renewed (wire_writer_t *writer, const kwf_renewed_t *renewed);
void message_read_renewed (wire_reader_t *reader, kwf_renewed_t *renewed);
void message_put_share_request (wire_writer_t *writer,
                                const kwf_share_request_t *share_request);
void message_read_share_request (wire_reader_t *reader,
                                 kwf_share_request_t *share_request);
void message_put_share_grant (wire_writer_t *writer,
                              const kwf_share_grant_t *share_grant);
void message_read_share_grant (wire_reader_t *reader,
                               kwf_share_grant_t *share_grant);
void message_put_server_loads (wire_writer_t *writer,
                               const kwf_server_loads_t *loads);
void message_read_server_loads (wire_reader_t *reader,
                                kwf_server_loads_t *loads);
void message_put_names (wire_writer_t *writer, const char *const *names,
                        size_t n);
const char *const *message_read_names (wire_reader_t *reader, size_t *n);
void message_put_server_limit (wire_writer_t *writer,
                               const kwf_server_limit_t *limit);
void message_read_server_limit (wire_reader_t *reader,
                                kwf_server_limit_t *limit);
void message_put_permit_ask (wire_writer_t *writer,
                             const kwf_permit_ask_t *ask);
void message_read_permit_ask (wire_reader_t *reader, kwf_permit_ask_t *ask);
void message_put_permit_grant (wire_writer_t *writer,
                               const kwf_permit_grant_t *grant);
void message_read_permit_grant (wire_reader_t *reader,
                                kwf_permit_grant_t *grant);

#endif
