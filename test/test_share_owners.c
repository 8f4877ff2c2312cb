/* Which members of a large fleet own an organisation's rate and burst, and to
   which of them another instance sends its share request.  */

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <cmocka.h>

#include "common-core.h"
#include "lib/share-state.h"

#define MEMBERS 30

typedef struct
{
  shares_t shares; /* only holders, former and instance are set */
  account_t account;
} view_t;

static char *
name_of (int i)
{
  return g_strdup_printf ("n%d", i);
}

/* N members, of which the first FORMER were members of the previous epoch.  */
static void
make_view (view_t *view, int n, int former)
{
  memset (view, 0, sizeof *view);
  view->shares.holders = g_ptr_array_new_with_free_func (holder_free);
  view->shares.former = g_ptr_array_new_with_free_func (g_free);
  view->account.share_owners = g_ptr_array_new_with_free_func (g_free);
  view->account.name = "o";
  for (int i = 0; i < n; i++)
    {
      holder_t *holder = g_new0 (holder_t, 1);
      holder->instance = name_of (i);
      g_ptr_array_add (view->shares.holders, holder);
      if (i < former)
        g_ptr_array_add (view->shares.former, name_of (i));
    }
}

static void
free_view (view_t *view)
{
  g_ptr_array_free (view->shares.holders, TRUE);
  g_ptr_array_free (view->shares.former, TRUE);
  g_ptr_array_free (view->account.share_owners, TRUE);
}

/* Computes the owners, and the share and old_share of instance I.  */
static void
find_owners_as (view_t *view, int i)
{
  view->shares.instance = name_of (i);
  share_owners_find (&view->shares, &view->account);
  g_free (view->shares.instance);
}

static int
count_owners_and_shares (view_t *view, double *sum, double *old_sum)
{
  int n_owners = 0;
  *sum = *old_sum = 0;
  for (int i = 0; i < MEMBERS; i++)
    {
      find_owners_as (view, i);
      char *name = name_of (i);
      assert_int_equal (share_owners_contain (&view->account, name),
                        view->account.share > 0);
      g_free (name);
      n_owners += view->account.share > 0;
      *sum += view->account.share;
      *old_sum += view->account.old_share;
    }
  return n_owners;
}

/* Guards against shares whose sum is more than 1: all instances must agree on
   the owners, also on those of the previous epoch.  */
static void
shares_of_all_instances_sum_to_one (void **state)
{
  (void)state;
  view_t view;
  double sum;
  double old_sum;
  make_view (&view, MEMBERS, MEMBERS - 5);
  assert_int_equal (count_owners_and_shares (&view, &sum, &old_sum),
                    SHARE_OWNERS);
  assert_true (sum == 1 && old_sum == 1);
  free_view (&view);
  make_view (&view, 5, 3);
  assert_int_equal (count_owners_and_shares (&view, &sum, &old_sum), 5);
  assert_true (sum > 0.999 && sum < 1.001);
  free_view (&view);
}

/* Guards against many owners that change when a member joins: a share that
   moves cannot be used until all members have left the previous epoch.  */
static void
one_more_member_moves_one_owner_at_most (void **state)
{
  (void)state;
  view_t before;
  view_t after;
  make_view (&before, MEMBERS - 1, 0);
  make_view (&after, MEMBERS, 0);
  find_owners_as (&before, 0);
  find_owners_as (&after, 0);
  int kept = 0;
  for (guint i = 0; i < before.account.share_owners->len; i++)
    kept += share_owners_contain (&after.account,
                                  before.account.share_owners->pdata[i]);
  assert_true (kept >= SHARE_OWNERS - 1);
  free_view (&before);
  free_view (&after);
}

/* Whether instance "a" is an owner among the members n0 to n(N - 1).  */
static bool
is_owner (int n)
{
  view_t view;
  make_view (&view, n, 0);
  holder_t *self = g_new0 (holder_t, 1);
  self->instance = g_strdup ("a");
  g_ptr_array_add (view.shares.holders, self);
  view.shares.instance = "a";
  share_owners_find (&view.shares, &view.account);
  bool is_an_owner = view.account.share > 0;
  free_view (&view);
  return is_an_owner;
}

static int
count_share_requests (const core_world_t *world, double *tokens, char *asked,
                      size_t size)
{
  int n = 0;
  for (size_t i = 0; i < kwf_effects_count (world->effects); i++)
    {
      const kwf_effect_t *effect = kwf_effects_at (world->effects, i);
      if (effect->type != KWF_FX_PEER_SEND
          || effect->send.message.type != KWF_MSG_SHARE_REQUEST)
        continue;
      n++;
      *tokens = effect->send.message.share_request.tokens;
      g_strlcpy (asked, effect->send.instance, size);
    }
  return n;
}

/* Guards against a caller's request for which all owners grant tokens, so that
   those that it does not need are lost: one owner gets a share request for all
   the tokens, and only then do all owners get one for what is missing.  */
static void
one_owner_is_asked_first (void **state)
{
  core_world_t *world = *state;
  int n = SHARE_OWNERS;
  while (n < MEMBERS && is_owner (n))
    n++;
  assert_true (n < MEMBERS);
  GString *row = g_string_new ("{\"epoch\":2,\"members\":[{\"instance\":\"a\","
                               "\"incarnation\":1}");
  for (int i = 0; i < n; i++)
    g_string_append_printf (row, ",{\"instance\":\"n%d\",\"incarnation\":1}",
                            i);
  g_string_append (row, "],\"previous\":[],\"former\":[\"a\"]}");
  core_world_row (world, "shares", row->str);
  g_string_free (row, TRUE);
  for (int i = 0; i < n; i++)
    {
      char *name = name_of (i);
      char *key = g_strconcat ("session/", name, NULL);
      core_world_row (world, key,
                      "{\"incarnation\":1,\"counter\":1,\"peer_address\":"
                      "\"127.0.0.1:9\",\"data_centre\":\"c\"}");
      core_world_step (world, &(kwf_event_t){ .type = KWF_EV_PEER_UP,
                                              .peer = { .instance = name,
                                                        .incarnation = 1 } });
      g_free (key);
      g_free (name);
    }
  core_world_servers (world);
  core_world_request (world, 1, "/read/x", NULL);
  double tokens = 0;
  char asked[8] = "";
  assert_int_equal (count_share_requests (world, &tokens, asked, sizeof asked),
                    1);
  assert_true (tokens == 10);
  /* The owner does not answer, so after SHARE_ANSWER_NS all owners get share
     requests.  */
  core_world_advance (world, 60);
  assert_true (count_share_requests (world, &tokens, asked, sizeof asked) > 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (shares_of_all_instances_sum_to_one),
    cmocka_unit_test (one_more_member_moves_one_owner_at_most),
    cmocka_unit_test_setup_teardown (one_owner_is_asked_first,
                                     core_world_setup, core_world_teardown),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
