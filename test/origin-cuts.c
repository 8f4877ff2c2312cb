#include "origin-cuts.h"

#define MS KWF_NS_PER_MS
/* Without a reason, tables are read this often.  */
#define READ_MS 700
/* Cuts last for up to this time.  */
#define CUT_MS 6000
/* One in so many steps begins a cut, or an outage of the store.  */
#define CUT_STEPS 40
#define AWAY_STEPS 150
/* One in so many processes ends with its machine.  */
#define DARK_PROCESSES 3

typedef struct
{
  currency_t *currency; /* NULL: there is no process */
  bool dark;            /* its machine is gone as well */
  int64_t store_cut_ns; /* until then it does not reach the store */
  int64_t links_cut_ns; /* until then it does not reach the others */
  int64_t read_ns;      /* when it reads the tables next */
  int64_t list;         /* version of its list of servers */
  int64_t told;         /* the highest that another one told */
  int64_t dated_ns;     /* when it read the tables last */
  int64_t unlinked_ns;  /* when its links were last cut */
  int64_t ended_ns;     /* end of its last process */
} cut_instance_t;

struct origin_cuts
{
  kwf_core_options_t options;
  const session_t *session;
  GRand *random;
  cut_instance_t instances[CUTS_INSTANCES];
  int64_t away_ns; /* until then the store answers nobody */
};

static int64_t
now (const origin_cuts_t *cuts)
{
  return kwf_now_ns (cuts->options.clock);
}

origin_cuts_t *
cuts_new (const kwf_core_options_t *options, const session_t *session,
          uint64_t seed)
{
  origin_cuts_t *cuts = g_new0 (origin_cuts_t, 1);
  cuts->options = *options;
  cuts->session = session;
  cuts->random = g_rand_new_with_seed ((guint32)seed);
  return cuts;
}

void
cuts_free (origin_cuts_t *cuts)
{
  if (!cuts)
    return;
  for (int i = 0; i < CUTS_INSTANCES; i++)
    currency_free (cuts->instances[i].currency);
  g_rand_free (cuts->random);
  g_free (cuts);
}

static bool
is_linked (const origin_cuts_t *cuts, int i)
{
  return cuts->instances[i].currency
         && now (cuts) >= cuts->instances[i].links_cut_ns;
}

/* Instances whose links were cut tell each other up to where they know the
   tables when the links are back.  */
static void
run_links (origin_cuts_t *cuts)
{
  for (int i = 0; i < CUTS_INSTANCES; i++)
    if (now (cuts) < cuts->instances[i].links_cut_ns)
      cuts->instances[i].unlinked_ns = now (cuts);
  for (int i = 0; i < CUTS_INSTANCES; i++)
    for (int k = 0; k < CUTS_INSTANCES && is_linked (cuts, i); k++)
      if (is_linked (cuts, k))
        cuts->instances[i].told
            = MAX (cuts->instances[i].told, cuts->instances[k].list);
}

static int64_t
draw_until (origin_cuts_t *cuts)
{
  return now (cuts) + g_rand_int_range (cuts->random, 200, CUT_MS) * MS;
}

void
cuts_run (origin_cuts_t *cuts)
{
  run_links (cuts);
  if (!g_rand_int_range (cuts->random, 0, AWAY_STEPS))
    cuts->away_ns = draw_until (cuts);
  if (g_rand_int_range (cuts->random, 0, CUT_STEPS))
    return;
  cut_instance_t *cut
      = &cuts->instances[g_rand_int_range (cuts->random, 0, CUTS_INSTANCES)];
  int64_t until_ns = draw_until (cuts);
  /* From the store, from the others, or twice as often from both.  */
  int kind = g_rand_int_range (cuts->random, 0, 4);
  if (kind != 0)
    cut->store_cut_ns = until_ns;
  if (kind != 1)
    cut->links_cut_ns = until_ns;
}

bool
cuts_reaches_store (const origin_cuts_t *cuts, int i)
{
  return now (cuts) >= cuts->away_ns
         && now (cuts) >= cuts->instances[i].store_cut_ns;
}

bool
cuts_reaches (const origin_cuts_t *cuts, int i)
{
  if (cuts_reaches_store (cuts, i))
    return true;
  for (int k = 0; k < CUTS_INSTANCES && is_linked (cuts, i); k++)
    if (k != i && is_linked (cuts, k) && cuts_reaches_store (cuts, k))
      return true;
  return false;
}

void
cuts_begin_process (origin_cuts_t *cuts, int i)
{
  cut_instance_t *instance = &cuts->instances[i];
  instance->currency = currency_new (&cuts->options);
  instance->dark = false;
  instance->told = 0;
}

void
cuts_end_process (origin_cuts_t *cuts, int i)
{
  cut_instance_t *instance = &cuts->instances[i];
  currency_free (instance->currency);
  instance->currency = NULL;
  instance->ended_ns = now (cuts);
  instance->dark = !g_rand_int_range (cuts->random, 0, DARK_PROCESSES);
}

void
cuts_note_list (origin_cuts_t *cuts, int i, int64_t version)
{
  cuts->instances[i].list = version;
}

static void
tell_date (origin_cuts_t *cuts, int i, int64_t current_ns, bool failed)
{
  cut_instance_t *instance = &cuts->instances[i];
  kwf_effects_t *effects = kwf_effects_new ();
  for (int table = 0; table < KWF_N_TABLES; table++)
    currency_step (instance->currency, cuts->session,
                   &(kwf_event_t){ .type = KWF_EV_TABLE_DATE,
                                   .date = { .table = (kwf_table_t)table,
                                             .current_ns = current_ns,
                                             .revision = 1,
                                             .failed = failed } },
                   effects);
  kwf_effects_free (effects);
  if (!failed)
    instance->dated_ns = current_ns;
  instance->read_ns = now (cuts) + READ_MS * MS;
}

bool
cuts_reads (origin_cuts_t *cuts, int i)
{
  return now (cuts) >= cuts->instances[i].read_ns;
}

void
cuts_date (origin_cuts_t *cuts, int i)
{
  tell_date (cuts, i, now (cuts), false);
}

void
cuts_fail (origin_cuts_t *cuts, int i)
{
  tell_date (cuts, i, INT64_MIN, true);
}

/* Whether instance I sees that instance K has ended, and can have learnt no
   more than it passed on.  */
static bool
is_known_to_have_ended (const origin_cuts_t *cuts, int i, int k)
{
  const cut_instance_t *other = &cuts->instances[k];
  int64_t dated_ns = cuts->instances[i].dated_ns;
  if (other->currency || other->dark || !is_linked (cuts, i))
    return false;
  return other->ended_ns <= dated_ns
         || (cuts->instances[i].unlinked_ns < dated_ns
             && other->unlinked_ns < dated_ns);
}

static currency_hubs_t
count_hubs (const origin_cuts_t *cuts, int i)
{
  const cut_instance_t *instance = &cuts->instances[i];
  currency_hubs_t hubs = { 1, 1, 1, instance->told > instance->list };
  for (int k = 0; k < CUTS_INSTANCES; k++)
    {
      if (k == i || is_known_to_have_ended (cuts, i, k))
        continue;
      bool linked = is_linked (cuts, i) && is_linked (cuts, k);
      hubs.n++;
      hubs.n_linked += linked;
      hubs.n_answered += linked;
      hubs.ahead |= linked && cuts->instances[k].list > instance->list;
    }
  return hubs;
}

currency_word_t
cuts_judge (origin_cuts_t *cuts, int i, int64_t since_ns)
{
  currency_hubs_t hubs = count_hubs (cuts, i);
  currency_word_t word
      = currency_judge (cuts->instances[i].currency, &hubs, since_ns);
  if (word == CURRENCY_OPEN)
    cuts->instances[i].read_ns = now (cuts);
  return word;
}
