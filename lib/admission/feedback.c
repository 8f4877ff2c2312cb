/* What first tokens, and answers that an engine is busy, tell the window of
   that engine.  */

#include "../request.h"

/* Weight of a new sample in the mean time to the first token.  */
#define MEAN_WEIGHT 0.0625

void
wait_first_token (kwf_core_t *core, const attempt_t *attempt, int64_t now_ns)
{
  const request_t *request = attempt->request;
  server_t *server = attempt->server;
  int64_t time_ns = now_ns - attempt->sent_ns;
  if (request->stream)
    {
      double time_s = (double)time_ns / (double)KWF_NS_PER_S;
      double mean_s = core->waits.first_token_s;
      core->waits.first_token_s
          = mean_s > 0 ? mean_s + (time_s - mean_s) * MEAN_WEIGHT : time_s;
    }
  else if (server->waiting > 0)
    return;
  else
    /* A whole answer does not show when its first token was made, but nothing
       waits at the engine.  */
    time_ns = 0;
  int priority = CLAMP (request->priority, 0, QUEUE_LANES - 1);
  if (window_record_first_token (
          &server->window, time_ns, core->options.first_token_ns[priority],
          server->open_attempts, server->waiting, now_ns))
    waits_recheck_server (core, server);
}

void
wait_shrink_window (kwf_core_t *core, const attempt_t *attempt, int64_t now_ns)
{
  (void)core;
  server_t *server = attempt->server;
  /* No first token arrived.  A target of 0 makes any delay too long, and the
     added 1 ns keeps the delay above 0.  */
  window_record_first_token (&server->window, now_ns - attempt->sent_ns + 1, 0,
                             server->open_attempts, server->waiting, now_ns);
}
