/* Partitions between some instances and all servers, while callers, the store
   and the other instances reach them.  Only seeds from FIRST_SEED on have
   them.  */

#include <knapweedfork/clock.h>

#include "soak.h"

#define FIRST_SEED 410000
/* Most time between the begins of two.  */
#define CUTS_S 5.0
#define SHORTEST_MS 500
#define LONGEST_MS 9000
/* Instances of one partition at most, as looking for the owner of a connection
   takes long.  */
#define MOST_CUT 8
/* What arrived while nothing passed is read within this time after it.  */
#define READ_MS 500
/* Requests with shorter deadlines say little about instances.  */
#define LEAST_DEADLINE_MS 1000
/* More than this many first tries and FEW_SHARE of all must have failed.  */
#define FEW_FAILED 10
#define FEW_SHARE 50

void
cuts_draw (soak_t *soak)
{
  soak->has_cuts = soak->seed >= FIRST_SEED;
  soak->cuts = g_array_new (FALSE, TRUE, sizeof (partition_t));
}

void
cuts_plan (soak_t *soak)
{
  GRand *rand = g_rand_new_with_seed (soak_hash (soak, "cuts", 0));
  double end_s = soak->seconds - CALM_S;
  double at_s = WARM_UP_S;
  while (soak->has_cuts
         && (at_s += g_rand_double_range (rand, 0, CUTS_S)) < end_s)
    {
      action_t action = { .at_s = at_s,
                          .act = ACT_CUT,
                          .target = g_rand_int (rand),
                          .value = g_rand_int (rand) };
      g_array_append_val (soak->plan, action);
    }
  g_rand_free (rand);
}

static partition_t *
last_cut (const soak_t *soak)
{
  return soak->cuts->len
             ? &g_array_index (soak->cuts, partition_t, soak->cuts->len - 1)
             : NULL;
}

static bool
has_instance (const partition_t *partition, const soak_t *soak, int i)
{
  int offset = (i - partition->first + soak->n_instances) % soak->n_instances;
  return offset < partition->n;
}

/* A process that is started anew is cut off as well.  */
static void
list_processes (soak_t *soak)
{
  const partition_t *partition = last_cut (soak);
  soak->cut.n = 0;
  for (int i = 0; i < soak->n_instances; i++)
    if (has_instance (partition, soak, i) && soak->instances[i].process.pid)
      soak->cut.pids[soak->cut.n++] = soak->instances[i].process.pid;
}

void
cut_start (soak_t *soak, unsigned target, unsigned value)
{
  int n = soak->n_instances;
  int sizes[] = { 1, 1, n / 2, n / 2, n };
  if (soak->is_cut)
    return;
  partition_t partition
      = { .first = (int)(target % (unsigned)n),
          .n = CLAMP (sizes[value % G_N_ELEMENTS (sizes)], 1, MOST_CUT),
          .began_ns = soak_now_ns () };
  partition.end_ns
      = partition.began_ns
        + (int64_t)(SHORTEST_MS + value / 16 % (LONGEST_MS - SHORTEST_MS))
              * KWF_NS_PER_MS;
  g_array_append_val (soak->cuts, partition);
  soak->is_cut = true;
  soak->cut.kind = (cut_kind_t)(value / 4 % 3);
  list_processes (soak);
  for (int i = 0; i < soak->n_backends; i++)
    cut_join (&soak->backends[i]);
}

void
cut_join (const backend_t *backend)
{
  if (!backend->soak->is_cut || !backend->listener)
    return;
  cut_begin (&backend->soak->cut, backend->listener);
  for (guint i = 0; i < backend->jobs->len; i++)
    job_note_cut (backend->jobs->pdata[i]);
}

static void
heal (soak_t *soak, int64_t now_ns)
{
  soak->is_cut = false;
  last_cut (soak)->end_ns = now_ns;
  for (int i = 0; i < soak->n_backends; i++)
    if (soak->backends[i].listener)
      {
        cut_end (soak->backends[i].listener);
        backend_read_if_thawed (&soak->backends[i]);
      }
}

void
cuts_tick (soak_t *soak, int64_t now_ns)
{
  if (!soak->is_cut)
    return;
  if (soak->is_calm || now_ns >= last_cut (soak)->end_ns)
    heal (soak, now_ns);
  else
    list_processes (soak);
}

bool
cut_has_delayed (const soak_t *soak)
{
  const partition_t *last = last_cut (soak);
  return last && !soak->is_cut && soak->cut.kind == CUT_HANGS
         && soak_now_ns () - last->end_ns <= READ_MS * KWF_NS_PER_MS;
}

/* Whether REQUEST tells how well its instance served callers while PARTITION
   was there.  */
static bool
is_first_try (const request_t *request, const partition_t *partition)
{
  return request->sent_ns >= partition->began_ns + CONTACT_MS * KWF_NS_PER_MS
         && request->sent_ns < partition->end_ns && request->calm
         && request->ended_calm && request->end != END_LEFT && !request->is_bad
         && !request->resumes[0] && request->deadline_ms >= LEAST_DEADLINE_MS;
}

static void
judge_cut (soak_t *soak, const GList *requests, const partition_t *partition)
{
  int n[2] = { 0 };
  int served[2] = { 0 };
  for (; requests; requests = requests->next)
    {
      const request_t *request = requests->data;
      if (!is_first_try (request, partition))
        continue;
      bool there = has_instance (partition, soak, request->instance);
      n[there]++;
      served[there] += request->end == END_WHOLE && request->status == 200;
    }
  int failed = n[1] - served[1];
  soak->n_cut_tries += n[1];
  soak->n_cut_served += served[1];
  soak->n_other_tries += n[0];
  soak->n_other_served += served[0];
  if (!n[0] || failed <= FEW_FAILED + (n[0] + n[1]) / FEW_SHARE)
    return;
  if (3 * served[1] * n[0] < 2 * served[0] * n[1])
    soak_break (soak, RULE_RECOVER, NULL, NULL,
                "%d instances from i%d on, cut off at %.3f s, served %d of %d "
                "and the others %d of %d",
                partition->n, partition->first,
                (double)(partition->began_ns - soak->start_ns)
                    / (double)KWF_NS_PER_S,
                served[1], n[1], served[0], n[0]);
}

/* Instances of earlier builds do not know that they are cut off.  */
void
judge_cuts (soak_t *soak, const GList *requests)
{
  for (guint i = 0; i < soak->cuts->len && !g_getenv ("KWF_OLD_DAEMON"); i++)
    judge_cut (soak, requests, &g_array_index (soak->cuts, partition_t, i));
}
