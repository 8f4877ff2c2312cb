#include "retry-budget.h"

#include <inttypes.h>

#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "budget.h"
#include "metric.h"
#include "repeat-window.h"

/* Part of the fleet's budget that is spent.  The rest is for unequal traffic
   at the rounding and for what a link delays.  */
#define SPENT_PART 0.9
/* The view of the members is taken again after this time.  */
#define VIEW_NS (1 * KWF_NS_PER_S)

/* The repeats of requests for one service.  */
typedef struct
{
  char *service;
  uint64_t hash; /* of SERVICE */
  repeat_window_t window;
  double rounding; /* of this instance's part, 0 to 1 */
  int64_t view_ns; /* when ROUNDING was found; 0: never */
  uint64_t n_requests;
  uint64_t n_repeats[N_REPEATS];
  uint64_t n_unsent; /* of the repeats, those that did not arrive */
  uint64_t n_denied;
} account_t;

struct retry_budget
{
  const kwf_clock_t *clock;
  GHashTable *accounts; /* name of the service -> account_t */
  budget_t bucket;      /* without a window */
  double share;
  double slack;
  int64_t window_ns; /* 0: none */
  const session_t *session;
  int64_t started_ns;
  int n_members;
};

static void
account_free (void *data)
{
  account_t *account = data;
  g_free (account->service);
  g_free (account);
}

retry_budget_t *
retry_budget_new (const kwf_core_options_t *options, const session_t *session)
{
  retry_budget_t *budget = g_new0 (retry_budget_t, 1);
  budget->clock = options->clock;
  budget->accounts
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, account_free);
  budget_init (&budget->bucket, options->retry_share,
               kwf_now_ns (options->clock));
  budget->share = SPENT_PART * options->retry_share;
  budget->slack = SPENT_PART * options->retry_slack;
  budget->window_ns = options->retry_window_ns;
  budget->session = session;
  budget->started_ns = kwf_now_ns (options->clock);
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
  account->hash = XXH64 (name, strlen (name), 0);
  repeat_window_init (&account->window, budget->window_ns,
                      kwf_now_ns (budget->clock));
  g_hash_table_insert (budget->accounts, account->service, account);
  return account;
}

bool
retry_budget_by_service (const retry_budget_t *budget)
{
  return budget->window_ns > 0;
}

/* This instance's part of the slack.  */

/* Parts are seldom whole numbers.  Each member rounds by its rank in an order
   of all members that is another one for each service: of N members with a
   part of 0.2 repeats, N / 5 may make one.  */
static void
take_view (retry_budget_t *budget, account_t *account, int64_t now_ns)
{
  session_member_t member;
  size_t at = 0;
  int n = 0;
  int rank = 0;
  uint64_t own_hash = 0;
  while (session_next_member (budget->session, &at, &member))
    {
      uint64_t hash
          = XXH64 (member.instance, strlen (member.instance), account->hash);
      if (!n)
        own_hash = hash;
      else if (member.expired)
        continue;
      n++;
      rank += hash < own_hash;
    }
  account->rounding = (rank + 0.5) / n;
  account->view_ns = now_ns;
  budget->n_members = n;
}

/* A process before this one may have spent its part until now, so that a new
   process has none within its first window.  */
static double
slack_of (retry_budget_t *budget, account_t *account, int64_t now_ns)
{
  if (now_ns - budget->started_ns < budget->window_ns)
    return 0;
  if (!account->view_ns || now_ns - account->view_ns >= VIEW_NS)
    take_view (budget, account, now_ns);
  return budget->slack / budget->n_members + account->rounding;
}

static double
left_of (retry_budget_t *budget, account_t *account)
{
  int64_t now_ns = kwf_now_ns (budget->clock);
  return repeat_window_left (&account->window, budget->share, now_ns)
         + slack_of (budget, account, now_ns);
}

void
retry_budget_count_request (retry_budget_t *budget, const char *service)
{
  account_t *account = account_of (budget, service);
  int64_t now_ns = kwf_now_ns (budget->clock);
  account->n_requests++;
  if (retry_budget_by_service (budget))
    repeat_window_count_request (&account->window, now_ns);
  else
    budget_count_request (&budget->bucket, now_ns);
}

bool
retry_budget_take (retry_budget_t *budget, const char *service,
                   repeat_kind_t kind)
{
  account_t *account = account_of (budget, service);
  bool by_service = retry_budget_by_service (budget);
  if (by_service ? left_of (budget, account) < 1
                 : !budget_take (&budget->bucket))
    {
      account->n_denied++;
      return false;
    }
  if (by_service)
    repeat_window_count_repeat (&account->window, kwf_now_ns (budget->clock));
  account->n_repeats[kind]++;
  return true;
}

bool
retry_budget_left (retry_budget_t *budget, const char *service)
{
  return retry_budget_by_service (budget)
             ? left_of (budget, account_of (budget, service)) >= 1
             : budget_left (&budget->bucket);
}

void
retry_budget_return (retry_budget_t *budget, const char *service,
                     int64_t taken_ns)
{
  if (!retry_budget_by_service (budget))
    return;
  account_t *account = account_of (budget, service);
  repeat_window_remove_repeat (&account->window, taken_ns,
                               kwf_now_ns (budget->clock));
  account->n_unsent++;
}

void
retry_budget_move (retry_budget_t *budget, const char *service,
                   int64_t taken_ns)
{
  account_t *account = account_of (budget, service);
  int64_t now_ns = kwf_now_ns (budget->clock);
  repeat_window_remove_repeat (&account->window, taken_ns, now_ns);
  repeat_window_count_repeat (&account->window, now_ns);
}

double
retry_budget_least (retry_budget_t *budget)
{
  if (!retry_budget_by_service (budget))
    return budget->bucket.tokens;
  double least = INFINITY;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, budget->accounts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    least = fmin (least, left_of (budget, value));
  return isfinite (least) ? least : 0;
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
  begin_series (account, name, out);
  g_string_append_printf (out, ",kind=\"unsent\"} %" PRIu64 "\n",
                          account->n_unsent);
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
