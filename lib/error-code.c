#include "error-code.h"

typedef struct
{
  const char *name;
  int status;
} entry_t;

static const entry_t entries[N_CODES] = {
  [CODE_OK] = { "ok", 0 },
  [CODE_MISSING_KEY] = { "missing_key", 401 },
  [CODE_UNKNOWN_KEY] = { "unknown_key", 401 },
  [CODE_KEY_WITHDRAWN] = { "key_withdrawn", 401 },
  [CODE_MODEL_NOT_ALLOWED] = { "model_not_allowed", 403 },
  [CODE_SERVICE_NOT_ALLOWED] = { "service_not_allowed", 403 },
  [CODE_MODEL_NOT_FOUND] = { "model_not_found", 404 },
  [CODE_SERVICE_NOT_FOUND] = { "service_not_found", 404 },
  [CODE_ROUTE_NOT_FOUND] = { "route_not_found", 404 },
  [CODE_RATE_LIMITED] = { "rate_limited", 429 },
  [CODE_REQUEST_TOO_LARGE] = { "request_too_large", 413 },
  [CODE_IDEMPOTENCY_KEY_REQUIRED] = { "idempotency_key_required", 400 },
  [CODE_IN_PROGRESS] = { "in_progress", 409 },
  [CODE_OUTCOME_UNKNOWN] = { "outcome_unknown", 502 },
  [CODE_REQUEST_CRASHES_SERVERS] = { "request_crashes_servers", 422 },
  [CODE_SUSPECT_NOT_RETRIED] = { "suspect_not_retried", 503 },
  [CODE_NOT_AUTHORISED_TO_ACT] = { "not_authorised_to_act", 503 },
  [CODE_ANSWER_WITHHELD] = { "answer_withheld", 502 },
  [CODE_NO_CONFIGURATION] = { "no_configuration", 503 },
  [CODE_MODEL_NOT_RESIDENT] = { "model_not_resident", 503 },
  [CODE_ORIGIN_UNKNOWN] = { "origin_unknown", 503 },
  [CODE_NO_SERVER] = { "no_server", 503 },
  [CODE_INSTANCE_STRANDED] = { "instance_stranded", 421 },
  [CODE_RETRY_BUDGET_EXHAUSTED] = { "retry_budget_exhausted", 503 },
  [CODE_CLAIM_UNAVAILABLE] = { "claim_unavailable", 503 },
  [CODE_BACKEND_ERROR] = { "backend_error", 502 },
  [CODE_STREAM_BROKEN] = { "stream_broken", 502 },
  [CODE_DEADLINE_EXCEEDED] = { "deadline_exceeded", 504 },
  [CODE_STOPPING] = { "stopping", 503 },
  [CODE_OVERLOADED] = { "overloaded", 503 },
  [CODE_CALLER_GONE] = { "caller_gone", 0 },
};

const char *
error_code_name (error_code_t code)
{
  return entries[code].name;
}

int
error_code_status (error_code_t code)
{
  return entries[code].status;
}
