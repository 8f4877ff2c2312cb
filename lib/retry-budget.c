#include "retry-budget.h"

#include <inttypes.h>

#include "budget.h"
#include "metric.h"

/* The repeats of requests for one service.  */
typedef struct
{
  char *service;
  uint64_t n_requests;
  uint64_t n_repeats[N_REPEATS];
  uint64_t n_denied;
} account_t;

struct retry_budget
{
  const kwf_clock_t *clock;
  GHashTable *accounts; /* name of the service -> account_t */
  budget_t bucket;
};

static void
account_free (void *data)
{
  account_t *account = data;
  g_free (account->service);
  g_free (account);
}

retry_budget_t *
retry_budget_new (const kwf_core_options_t *options)
{
  retry_budget_t *budget = g_new0 (retry_budget_t, 1);
  budget->clock = options->clock;
  budget->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  budget_init (&budget->bucket, options->retry_share,
               kwf_now_ns (options->clock));
  return budget;
}

void
retry_budget_free (retry_budget_t *budget)
{
  if (!budget)
    return;
  g_hash_table_unref (budget->accounts);
  g_free (budget);
}

static account_t *
account_of (retry_budget_t *budget, const char *service)
{
  const char *name = service ? service : "";
  account_t *account = g_hash_table_lookup (budget->accounts, name);
  if (account)
    return account;
  account = g_new0 (account_t, 1);
  account->service = g_strdup (name);
  g_hash_table_insert (budget->accounts, account->service, account);
  return account;
}

void
retry_budget_count_request (retry_budget_t *budget, const char *service)
{
  account_of (budget, service)->n_requests++;
  budget_count_request (&budget->bucket, kwf_now_ns (budget->clock));
}

bool
retry_budget_take (retry_budget_t *budget, const char *service,
                   repeat_kind_t kind)
{
  account_t *account = account_of (budget, service);
  if (!budget_take (&budget->bucket))
    {
      account->n_denied++;
      return false;
    }
  account->n_repeats[kind]++;
  return true;
}

bool
retry_budget_left (retry_budget_t *budget, const char *service)
{
  (void)service;
  return budget_left (&budget->bucket);
}

double
retry_budget_least (const retry_budget_t *budget)
{
  return budget->bucket.tokens;
}

/* The series of one metric, which write_account appends.  */
static void
write_counter (const retry_budget_t *budget, GString *out, const char *name,
               void (*write_account) (const account_t *account,
                                      const char *name, GString *out))
{
  GHashTableIter iter;
  gpointer value;
  g_string_append_printf (out, "# TYPE %s counter\n", name);
  g_hash_table_iter_init (&iter, budget->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    write_account (value, name, out);
}

static void
begin_series (const account_t *account, const char *name, GString *out)
{
  g_string_append_printf (out, "%s{", name);
  metric_write_label (out, "service", account->service);
}

static void
write_requests (const account_t *account, const char *name, GString *out)
{
  begin_series (account, name, out);
  g_string_append_printf (out, "} %" PRIu64 "\n", account->n_requests);
}

static void
write_repeats (const account_t *account, const char *name, GString *out)
{
  static const char *const kinds[] = { [REPEAT_RETRY] = "retry",
                                       [REPEAT_RESUME] = "resume",
                                       [REPEAT_TRIAL] = "trial",
                                       [REPEAT_HEDGE] = "hedge" };
  for (int i = 0; i < N_REPEATS; i++)
    {
      begin_series (account, name, out);
      g_string_append_printf (out, ",kind=\"%s\"} %" PRIu64 "\n", kinds[i],
                              account->n_repeats[i]);
    }
}

static void
write_denied (const account_t *account, const char *name, GString *out)
{
  begin_series (account, name, out);
  g_string_append_printf (out, "} %" PRIu64 "\n", account->n_denied);
}

void
retry_budget_write_metrics (const retry_budget_t *budget, GString *out)
{
  write_counter (budget, out, "kwf_service_requests_total", write_requests);
  write_counter (budget, out, "kwf_service_repeats_total", write_repeats);
  write_counter (budget, out, "kwf_retry_budget_denied_total", write_denied);
}
