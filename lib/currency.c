#include "currency.h"

#include <string.h>

#include "metric.h"
#include "revision.h"

/* Least time between two questions, to the store and to the hubs, and to a
   store that does not answer.  */
#define ASK_GAP_NS (50 * KWF_NS_PER_MS)
#define ASK_AGAIN_NS (250 * KWF_NS_PER_MS)
/* Hubs are asked if the store has not answered within this time.  */
#define STORE_PATIENCE_NS (100 * KWF_NS_PER_MS)
/* After the store came back from an older copy, what is lost of the fleet's
   own table is written again within this time.  */
#define REWRITE_NS (2 * KWF_NS_PER_S)
/* The address of a process that has ended refuses a connection within this
   time after its links are lost.  */
#define REFUSED_NS (1 * KWF_NS_PER_S)
/* Questions whose time of sending is kept.  */
#define N_QUESTIONS 32

/* The last answer of another instance.  */
typedef struct
{
  uint64_t incarnation;
  int64_t asked_ns; /* when the question was sent */
} word_t;

struct currency
{
  const kwf_clock_t *clock;
  bool dated; /* the platform tells dates */
  int64_t current_ns[KWF_N_TABLES];
  int64_t revisions[KWF_N_TABLES];
  bool failed[KWF_N_TABLES];
  bool behind[KWF_N_TABLES];
  GHashTable *words;          /* instance to word_t */
  int64_t told[KWF_N_TABLES]; /* the highest revisions that others told */
  int64_t number;             /* of the last question */
  int64_t asked_ns[N_QUESTIONS];
  int64_t refresh_ns;   /* when the store was asked last */
  int64_t unshown_ns;   /* when it was asked first without an answer since; 0:
                           it has answered */
  int64_t rewritten_ns; /* until then the tables may lack what others know; 0:
                           they do not */
  uint64_t n_refreshes;
  uint64_t n_questions;
};

currency_t *
currency_new (const kwf_core_options_t *options)
{
  currency_t *currency = g_new0 (currency_t, 1);
  currency->clock = options->clock;
  currency->dated = options->push_updates;
  for (int i = 0; i < KWF_N_TABLES; i++)
    currency->current_ns[i] = INT64_MIN;
  currency->words
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  currency->refresh_ns = INT64_MIN / 2;
  return currency;
}

void
currency_free (currency_t *currency)
{
  if (!currency)
    return;
  g_hash_table_unref (currency->words);
  g_free (currency);
}

/* Whether the process of MEMBER has ended, and could not learn more after
   DATED_NS than it told.  */
static bool
has_ended (const session_member_t *member, int64_t dated_ns)
{
  if (member->linked)
    return false;
  if (member->expired)
    return true;
  bool was_linked = member->unlinked_ns && member->unlinked_ns >= dated_ns;
  if (member->leaving)
    return was_linked;
  int64_t refuses_ns = member->refuses_ns;
  return refuses_ns
         && (refuses_ns <= dated_ns
             || (was_linked
                 && refuses_ns - member->unlinked_ns <= REFUSED_NS));
}

/* Whether more than half of the hubs have been linked to this one since
   SINCE_NS, so that it was told what others read.  */
static bool
was_linked_since (const session_t *session, int64_t since_ns)
{
  size_t n = 0;
  size_t n_linked = 0;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    if (member.hub && !has_ended (&member, since_ns))
      {
        n++;
        n_linked += member.linked && member.linked_ns <= since_ns;
      }
  return 2 * n_linked >= n;
}

static void
handle_date (currency_t *currency, const session_t *session,
             const kwf_table_date_event_t *date)
{
  int64_t *current_ns = &currency->current_ns[date->table];
  int64_t era = revision_era (currency->revisions[date->table]);
  if (date->table == KWF_TABLE_OWN && *current_ns != INT64_MIN
      && revision_era (date->revision) > era
      && !was_linked_since (session, *current_ns))
    currency->rewritten_ns = kwf_now_ns (currency->clock) + REWRITE_NS;
  if (date->current_ns > *current_ns)
    {
      *current_ns = date->current_ns;
      currency->unshown_ns = 0;
    }
  currency->revisions[date->table] = date->revision;
  currency->failed[date->table] = date->failed;
  currency->behind[date->table] = date->behind;
}

/* Tells PEER up to where the tables are known here: as the answer to question
   NUMBER, or without one, 0.  */
static void
tell (const currency_t *currency, const char *peer, int64_t number,
      kwf_effects_t *effects)
{
  session_send (peer, KWF_MSG_TABLES_REPLY, effects)->tables
      = (kwf_tables_t){ .number = number,
                        .servers = currency->revisions[KWF_TABLE_SERVERS],
                        .own = currency->revisions[KWF_TABLE_OWN] };
}

static void
handle_reply (currency_t *currency, const kwf_peer_event_t *peer)
{
  const kwf_tables_t *tables = &peer->message->tables;
  int64_t *told = currency->told;
  told[KWF_TABLE_SERVERS] = MAX (told[KWF_TABLE_SERVERS], tables->servers);
  told[KWF_TABLE_OWN] = MAX (told[KWF_TABLE_OWN], tables->own);
  int64_t age = currency->number - tables->number;
  if (tables->number <= 0 || age < 0 || age >= N_QUESTIONS)
    return;
  word_t *word = g_new0 (word_t, 1);
  *word = (word_t){
    .incarnation = peer->incarnation,
    .asked_ns = currency->asked_ns[tables->number % N_QUESTIONS],
  };
  g_hash_table_replace (currency->words, g_strdup (peer->instance), word);
}

void
currency_step (currency_t *currency, const session_t *session,
               const kwf_event_t *event, kwf_effects_t *effects)
{
  if (event->type == KWF_EV_TABLE_DATE)
    handle_date (currency, session, &event->date);
  /* What was passed on while there was no link is not passed on again.  */
  else if (event->type == KWF_EV_PEER_UP && currency->dated)
    tell (currency, event->peer.instance, 0, effects);
  else if (event->type == KWF_EV_PEER_DOWN)
    g_hash_table_remove (currency->words, event->peer.instance);
  else if (event->type != KWF_EV_PEER_MESSAGE)
    return;
  else if (event->peer.message->type == KWF_MSG_TABLES_QUERY)
    tell (currency, event->peer.instance, event->peer.message->tables.number,
          effects);
  else if (event->peer.message->type == KWF_MSG_TABLES_REPLY)
    handle_reply (currency, &event->peer);
}

bool
currency_is_dated (const currency_t *currency, kwf_table_t table,
                   int64_t since_ns)
{
  return !currency->dated || currency->current_ns[table] >= since_ns;
}

int64_t
currency_age_ns (const currency_t *currency, kwf_table_t table)
{
  int64_t current_ns = currency->current_ns[table];
  return current_ns == INT64_MIN ? INT64_MAX
                                 : kwf_now_ns (currency->clock) - current_ns;
}

/* Whether all tables have been read, and no message has shown that another
   instance knows more.  */
static bool
are_read (const currency_t *currency)
{
  for (int i = 0; i < KWF_N_TABLES; i++)
    if (currency->current_ns[i] == INT64_MIN || currency->behind[i])
      return false;
  return true;
}

static bool
store_has_failed (const currency_t *currency)
{
  for (int i = 0; i < KWF_N_TABLES; i++)
    if (currency->failed[i])
      return true;
  return false;
}

currency_word_t
currency_judge (const currency_t *currency, const currency_hubs_t *hubs,
                int64_t since_ns)
{
  bool dated = true;
  for (int i = 0; i < KWF_N_TABLES; i++)
    dated &= currency_is_dated (currency, (kwf_table_t)i, since_ns);
  if (dated)
    return CURRENCY_SHOWN;
  bool failed = store_has_failed (currency);
  bool agreed = are_read (currency) && !hubs->ahead;
  if (agreed && hubs->n > 1 && hubs->n_answered == hubs->n)
    return CURRENCY_SHOWN;
  if (agreed && failed && hubs->n > 1 && 2 * hubs->n_answered > hubs->n)
    return CURRENCY_SHOWN;
  return failed && 2 * hubs->n_linked <= hubs->n ? CURRENCY_UNKNOWN
                                                 : CURRENCY_OPEN;
}

static currency_hubs_t
count_hubs (const currency_t *currency, const session_t *session,
            int64_t since_ns)
{
  currency_hubs_t hubs = { 0 };
  int64_t dated_ns = INT64_MAX;
  for (int i = 0; i < KWF_N_TABLES; i++)
    {
      dated_ns = MIN (dated_ns, currency->current_ns[i]);
      hubs.ahead |= currency->told[i] > currency->revisions[i];
    }
  session_member_t member;
  size_t at = 0;
  /* The first one is this instance.  */
  session_next_member (session, &at, &member);
  hubs.n = hubs.n_linked = hubs.n_answered = member.hub;
  while (session_next_member (session, &at, &member))
    {
      if (!member.hub || has_ended (&member, dated_ns))
        continue;
      const word_t *word
          = g_hash_table_lookup (currency->words, member.instance);
      bool told = member.linked && word && word->asked_ns >= since_ns
                  && word->incarnation == member.incarnation;
      hubs.n++;
      hubs.n_linked += member.linked;
      hubs.n_answered += told;
    }
  return hubs;
}

currency_word_t
currency_check (const currency_t *currency, const session_t *session,
                int64_t since_ns)
{
  if (!currency->dated)
    return CURRENCY_SHOWN;
  if (kwf_now_ns (currency->clock) < currency->rewritten_ns)
    return CURRENCY_UNKNOWN;
  currency_hubs_t hubs = count_hubs (currency, session, since_ns);
  return currency_judge (currency, &hubs, since_ns);
}

static void
ask_hubs (currency_t *currency, const session_t *session, int64_t now_ns,
          kwf_effects_t *effects)
{
  int64_t last_ns = currency->asked_ns[currency->number % N_QUESTIONS];
  if (currency->number && now_ns - last_ns < ASK_GAP_NS)
    return;
  currency->asked_ns[++currency->number % N_QUESTIONS] = now_ns;
  currency->n_questions++;
  session_member_t member;
  size_t at = SESSION_OTHERS;
  while (session_next_member (session, &at, &member))
    if (member.hub && member.linked)
      session_send (member.instance, KWF_MSG_TABLES_QUERY, effects)
          ->tables.number
          = currency->number;
}

void
currency_ask (currency_t *currency, const session_t *session,
              kwf_effects_t *effects)
{
  int64_t now_ns = kwf_now_ns (currency->clock);
  if (!currency->dated)
    return;
  bool failed = store_has_failed (currency);
  if (now_ns - currency->refresh_ns >= (failed ? ASK_AGAIN_NS : ASK_GAP_NS))
    {
      currency->refresh_ns = now_ns;
      currency->n_refreshes++;
      kwf_effects_add (effects, KWF_FX_REFRESH);
    }
  if (!currency->unshown_ns)
    currency->unshown_ns = now_ns;
  if (failed || now_ns - currency->unshown_ns >= STORE_PATIENCE_NS)
    ask_hubs (currency, session, now_ns, effects);
}

void
currency_write_metrics (const currency_t *currency, GString *out)
{
  metric_write_value (out, "kwf_table_refreshes_total", "counter",
                      (double)currency->n_refreshes);
  metric_write_value (out, "kwf_table_questions_total", "counter",
                      (double)currency->n_questions);
}
