/* Requests whose connection broke: they wait for a load report that shows
   whether their server crashed.  */

#include "request.h"

/* The load report that REQUEST waited for arrived, or did not arrive in time:
   dispatch it again, whether the server crashed or not.  */
static void
retry_after_crash_check (kwf_core_t *core, request_t *request,
                         kwf_effects_t *effects)
{
  request->crash_check_server = NULL;
  if (request->trial)
    {
      request->trial = false;
      request->trial_used = true;
      /* This does nothing if the fingerprint was quarantined in the
         meantime.  */
      crash_trial_ended (core->crash, request->fingerprint, false, effects);
    }
  attempt_dispatch (core, request, effects);
}

void
crash_check_reported (kwf_core_t *core, const server_t *server,
                      kwf_effects_t *effects)
{
  GPtrArray *settled = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, core->requests);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const request_t *request = value;
      if (request->state == REQUEST_CRASH_CHECK
          && request->crash_check_server == server)
        g_ptr_array_add (settled, value);
    }
  for (guint i = 0; i < settled->len; i++)
    retry_after_crash_check (core, g_ptr_array_index (settled, i), effects);
  g_ptr_array_free (settled, TRUE);
}

void
crash_check_timeout (kwf_core_t *core, request_t *request,
                     kwf_effects_t *effects)
{
  retry_after_crash_check (core, request, effects);
}
