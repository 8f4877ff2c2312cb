/* Timing of continuous batching.  A step lasts for the prefill time of the
   sequences admitted at its start plus the time of one token, which grows with
   the number of sequences; at its end each sequence gets its next token.  */

#include "common-engine.h"

#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <knapweedfork/clock.h>

#include "common-tokens.h"

/* If the timer was late, up to this number of steps is done at once, so that a
   late timer does not slow the engine down.  */
#define MAX_CATCH_UP 64

static void on_step (struct ev_loop *loop, ev_timer *watcher, int events);

void
batch_init (batch_t *batch, struct ev_loop *loop)
{
  batch->loop = loop;
  batch->sequences = g_hash_table_new (g_int64_hash, g_int64_equal);
  batch->running = g_ptr_array_new ();
  batch->text = g_string_sized_new (65536);
  ev_timer_init (&batch->step, on_step, 0., 0.);
  batch->step.data = batch;
}

int64_t
batch_waiting (const batch_t *batch)
{
  return batch->waiting[0].length + batch->waiting[1].length
         + batch->waiting[2].length;
}

batch_sequence_t *
batch_add (batch_t *batch, kwf_handle_t request)
{
  batch_sequence_t *sequence = g_new0 (batch_sequence_t, 1);
  sequence->request = request;
  sequence->batch = batch;
  sequence->link.data = sequence;
  g_hash_table_insert (batch->sequences, &sequence->request, sequence);
  return sequence;
}

static void
remove_sequence (batch_t *batch, batch_sequence_t *sequence)
{
  if (sequence->running)
    {
      g_ptr_array_remove_index_fast (batch->running, sequence->position);
      if (sequence->position < batch->running->len)
        ((batch_sequence_t *)g_ptr_array_index (batch->running,
                                                sequence->position))
            ->position
            = sequence->position;
    }
  else if (sequence->delayed)
    ev_timer_stop (batch->loop, &sequence->delay);
  else
    g_queue_unlink (&batch->waiting[sequence->priority], &sequence->link);
  sequence->model->n_sequences--;
  g_hash_table_remove (batch->sequences, &sequence->request);
  free (sequence->id);
  g_free (sequence);
}

void
batch_cancel (batch_t *batch, kwf_handle_t request)
{
  batch_sequence_t *sequence
      = g_hash_table_lookup (batch->sequences, &request);
  if (!sequence)
    return;
  batch->n_cancelled++;
  remove_sequence (batch, sequence);
}

static void
append_event_start (const batch_sequence_t *sequence, GString *text)
{
  static time_t now;
  if (!now)
    now = time (NULL);
  g_string_append (text, "data: {\"id\":");
  g_string_append (text, sequence->id);
  g_string_append (text, sequence->chat
                             ? ",\"object\":\"chat.completion.chunk\""
                             : ",\"object\":\"text_completion\"");
  g_string_append_printf (text, ",\"created\":%lld,\"model\":\"%s\"",
                          (long long)now, sequence->model->name);
}

static void
append_usage (const batch_sequence_t *sequence, GString *text)
{
  int64_t total = sequence->prompt_tokens + sequence->total;
  g_string_append_printf (
      text,
      "\"usage\":{\"prompt_tokens\":%lld,\"completion_tokens\":%lld,"
      "\"total_tokens\":%lld}",
      (long long)sequence->prompt_tokens, (long long)sequence->total,
      (long long)total);
}

static const char *
finish_reason (const batch_sequence_t *sequence)
{
  return sequence->stops ? "\"stop\"" : "\"length\"";
}

/* Append the event of the next token.  The last event carries the finish
   reason and the usage; its content is empty if no token is left.  */
static void
append_event (batch_sequence_t *sequence, GString *text)
{
  char token[TOKEN_SIZE] = "";
  bool first = sequence->next == 0;
  if (sequence->next < sequence->total)
    tokens_write (token, sequence->seed, sequence->next++);
  append_event_start (sequence, text);
  g_string_append (text, ",\"choices\":[{\"index\":0,");
  if (!sequence->chat)
    g_string_append (text, "\"text\":\"");
  else if (first)
    g_string_append (text, "\"delta\":{\"role\":\"assistant\",\"content\":\"");
  else
    g_string_append (text, "\"delta\":{\"content\":\"");
  g_string_append (text, token);
  g_string_append (text, sequence->chat ? "\"}" : "\"");
  g_string_append (text, ",\"finish_reason\":");
  if (sequence->next < sequence->total)
    {
      g_string_append (text, "null}]}\n\n");
      return;
    }
  g_string_append (text, finish_reason (sequence));
  g_string_append (text, "}],");
  append_usage (sequence, text);
  g_string_append (text, "}\n\ndata: [DONE]\n\n");
}

static void
begin_stream (batch_t *batch, batch_sequence_t *sequence)
{
  static const header_t headers[] = { { "Cache-Control", "no-cache" } };
  if (!sequence->begun)
    server_begin (batch->server, sequence->request, 200, "text/event-stream",
                  headers, 1, SERVER_END_CHUNKS);
  sequence->begun = true;
}

/* Write the next tokens of a stream.  Return whether it has ended.  */
static bool
step_stream (batch_t *batch, batch_sequence_t *sequence)
{
  GString *text = batch->text;
  int64_t limit = batch->tokens_per_step;
  int64_t sent = sequence->next - sequence->resume_from;
  bool breaks = batch->break_after_tokens > 0
                && sent + limit >= batch->break_after_tokens;
  if (breaks)
    limit = MAX (0, batch->break_after_tokens - sent);
  g_string_truncate (text, 0);
  begin_stream (batch, sequence);
  bool ended = false;
  for (int64_t i = 0; i < limit && !ended; i++)
    {
      append_event (sequence, text);
      ended = sequence->next >= sequence->total;
      batch->n_tokens++;
    }
  server_write (batch->server, sequence->request, text->str, text->len);
  if (ended)
    {
      server_end (batch->server, sequence->request);
      batch->n_completed++;
    }
  else if (breaks)
    {
      server_abort (batch->server, sequence->request);
      batch->n_broken++;
    }
  return ended || breaks;
}

static void
send_whole (batch_t *batch, const batch_sequence_t *sequence)
{
  GString *text = batch->text;
  g_string_truncate (text, 0);
  g_string_append (text, "{\"id\":");
  g_string_append (text, sequence->id);
  g_string_append_printf (
      text, ",\"object\":\"%s\",\"created\":%lld,\"model\":\"%s\",",
      sequence->chat ? "chat.completion" : "text_completion",
      (long long)time (NULL), sequence->model->name);
  g_string_append (text, sequence->chat
                             ? "\"choices\":[{\"index\":0,\"message\":"
                               "{\"role\":\"assistant\",\"content\":\""
                             : "\"choices\":[{\"index\":0,\"text\":\"");
  for (int64_t i = sequence->resume_from; i < sequence->total; i++)
    {
      char token[TOKEN_SIZE];
      g_string_append_len (text, token,
                           (gssize)tokens_write (token, sequence->seed, i));
    }
  g_string_append (text, sequence->chat ? "\"}" : "\"");
  g_string_append_printf (text, ",\"finish_reason\":%s}],",
                          finish_reason (sequence));
  append_usage (sequence, text);
  g_string_append_c (text, '}');
  server_reply (batch->server, sequence->request, 200, "application/json",
                NULL, 0, text->str, text->len);
}

/* Advance a sequence whose answer is not streamed.  Return whether it has
   ended.  */
static bool
step_whole (batch_t *batch, batch_sequence_t *sequence)
{
  int64_t n = MIN (batch->tokens_per_step, sequence->total - sequence->next);
  sequence->next += n;
  batch->n_tokens += n;
  if (sequence->next < sequence->total)
    return false;
  send_whole (batch, sequence);
  batch->n_completed++;
  return true;
}

static void
end_step (batch_t *batch)
{
  for (guint i = batch->running->len; i-- > 0;)
    {
      batch_sequence_t *sequence = g_ptr_array_index (batch->running, i);
      if (sequence->stream ? step_stream (batch, sequence)
                           : step_whole (batch, sequence))
        remove_sequence (batch, sequence);
    }
}

static batch_sequence_t *
next_waiting (batch_t *batch)
{
  for (size_t i = 0; i < G_N_ELEMENTS (batch->waiting); i++)
    if (batch->waiting[i].head)
      return batch->waiting[i].head->data;
  return NULL;
}

/* Admit waiting sequences while the batch has room.  Return the time of their
   prefill, in ms.  */
static double
admit (batch_t *batch)
{
  double prefill_ms = 0;
  batch_sequence_t *sequence;
  while ((int64_t)batch->running->len < batch->max_running
         && (sequence = next_waiting (batch)))
    {
      if (sequence->deadline_ns && standin_now_ns () > sequence->deadline_ns)
        {
          standin_error (batch->server, sequence->request, 504,
                         "deadline_exceeded", "the deadline passed");
          batch->n_expired++;
          remove_sequence (batch, sequence);
          continue;
        }
      g_queue_unlink (&batch->waiting[sequence->priority], &sequence->link);
      sequence->running = true;
      sequence->position = batch->running->len;
      g_ptr_array_add (batch->running, sequence);
      prefill_ms += (double)sequence->prefill_tokens * batch->prefill_us / 1e3;
    }
  return prefill_ms;
}

/* Start a step if there are sequences.  Return whether one was started.  */
static bool
begin_step (batch_t *batch)
{
  if (batch->stall)
    return false;
  double duration_ms = admit (batch);
  if (!batch->running->len)
    return false;
  duration_ms
      += batch->token_ms * (1 + batch->slope * (batch->running->len - 1));
  batch->due_ns += (int64_t)(duration_ms * (double)KWF_NS_PER_MS);
  return true;
}

static void
continue_from (batch_t *batch, int64_t now_ns)
{
  batch->in_step = begin_step (batch);
  if (!batch->in_step)
    return;
  double wait_s = (double)MAX (0, batch->due_ns - now_ns) / 1e9;
  ev_timer_set (&batch->step, wait_s, 0.);
  ev_timer_start (batch->loop, &batch->step);
}

static void
on_step (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  batch_t *batch = watcher->data;
  int64_t now_ns = standin_now_ns ();
  if (batch->stall)
    {
      batch->in_step = false;
      return;
    }
  end_step (batch);
  for (int i = 0; batch->token_ms > 0 && i < MAX_CATCH_UP; i++)
    {
      if (!begin_step (batch))
        {
          batch->in_step = false;
          return;
        }
      if (batch->due_ns > now_ns)
        {
          ev_now_update (batch->loop);
          ev_timer_set (&batch->step, (double)(batch->due_ns - now_ns) / 1e9,
                        0.);
          ev_timer_start (batch->loop, &batch->step);
          return;
        }
      end_step (batch);
    }
  batch->due_ns = now_ns;
  continue_from (batch, now_ns);
}

void
batch_wake (batch_t *batch)
{
  if (batch->in_step)
    return;
  ev_now_update (batch->loop);
  batch->due_ns = standin_now_ns ();
  continue_from (batch, batch->due_ns);
}

static void
enqueue (batch_t *batch, batch_sequence_t *sequence)
{
  g_queue_push_tail_link (&batch->waiting[sequence->priority],
                          &sequence->link);
  batch_wake (batch);
}

static void
on_delay (struct ev_loop *loop, ev_timer *watcher, int events)
{
  (void)loop;
  (void)events;
  batch_sequence_t *sequence = watcher->data;
  sequence->delayed = false;
  enqueue (sequence->batch, sequence);
}

void
batch_start (batch_t *batch, batch_sequence_t *sequence, double delay_ms)
{
  sequence->model->n_sequences++;
  if (delay_ms <= 0)
    {
      enqueue (batch, sequence);
      return;
    }
  sequence->delayed = true;
  ev_timer_init (&sequence->delay, on_delay, delay_ms / 1e3, 0.);
  sequence->delay.data = sequence;
  ev_now_update (batch->loop);
  ev_timer_start (batch->loop, &sequence->delay);
}
