#include <knapweedfork/status.h>

#include <stdarg.h>
#include <stdio.h>

const char *
kwf_status_name (kwf_status_t status)
{
  static const char *const names[] = {
    [KWF_OK] = "ok",
    [KWF_INVALID] = "invalid",
    [KWF_NOT_FOUND] = "not_found",
    [KWF_CONFLICT] = "conflict",
    [KWF_UNAVAILABLE] = "unavailable",
    [KWF_UNKNOWN] = "unknown",
    [KWF_TIMEOUT] = "timeout",
    [KWF_DENIED] = "denied",
    [KWF_LIMIT] = "limit",
    [KWF_CLOSED] = "closed",
  };
  if ((unsigned)status >= sizeof names / sizeof names[0])
    return "invalid_status";
  return names[status];
}

kwf_status_t
kwf_fail (kwf_error_t *error, kwf_status_t status, const char *step,
          const char *peer, const char *format, ...)
{
  if (!error)
    return status;
  error->status = status;
  snprintf (error->step, sizeof error->step, "%s", step ? step : "");
  snprintf (error->peer, sizeof error->peer, "%s", peer ? peer : "");
  va_list args;
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return status;
}
