/* Answers GET /v1/models and GET /v1/instances.  */

#include "request.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "fanout.h"
#include "error-code.h"

/* Number of instances listed to the callers of one organisation.  A few are
   enough, and the organisation's rate share then stays in few places.  */
#define SUBSET_SIZE 8

static void
reply_json (kwf_core_t *core, const kwf_request_event_t *event,
            const char *organisation, json_t *object, kwf_effects_t *effects)
{
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  char *body = kwf_effects_strdup (effects, text);
  free (text);
  kwf_effect_t *effect = kwf_effects_add (effects, KWF_FX_REPLY);
  effect->reply = (kwf_reply_t){ .request = event->handle,
                                 .status = 200,
                                 .run = KWF_RUN_YES,
                                 .retry_after_ms = -1,
                                 .body = body,
                                 .body_size = strlen (body),
                                 .content_type = "application/json" };
  metrics_series (core->metrics, organisation, KWF_PRIORITY_INTERACTIVE)
      ->codes[CODE_OK]++;
}

static void
add_model (json_t *data, const char *id)
{
  json_array_append_new (data, json_pack ("{s:s,s:s,s:i,s:s}", "id", id,
                                          "object", "model", "created", 0,
                                          "owned_by", "knapweedfork"));
}

void
directory_models (kwf_core_t *core, const kwf_request_event_t *event,
                  const char *organisation, kwf_effects_t *effects)
{
  const kwf_organisation_t *uses
      = kwf_lists_organisation (config_lists (core->config), organisation);
  json_t *data = json_array ();
  for (size_t i = 0; i < uses->n_models; i++)
    add_model (data, uses->models[i]);
  for (size_t i = 0; i < uses->n_adapters; i++)
    {
      /* The lists write "MODEL/ADAPTER"; callers use "MODEL:ADAPTER".  */
      char *id = g_strdup (uses->adapters[i]);
      char *slash = strrchr (id, '/');
      if (slash)
        *slash = ':';
      add_model (data, id);
      g_free (id);
    }
  reply_json (core, event, organisation,
              json_pack ("{s:s,s:o}", "object", "list", "data", data),
              effects);
}

/* Added to both loads before they are compared, so that loads below this many
   requests hardly differ.  */
#define LOAD_OFFSET 4.0
#define WEIGHT_MIN 0.125

/* Weight of an instance with LOAD open requests where the fleet's mean is
   MEAN.  The weight changes in factors of two, so that the subset of instances
   changes, and rate shares move, only after a large change of the load.  */
static double
weight_of (double load, double mean)
{
  double ratio = (load + LOAD_OFFSET) / (mean + LOAD_OFFSET);
  double weight = 1;
  for (double step = 1.5; ratio >= step && weight > WEIGHT_MIN; step *= 2)
    weight /= 2;
  return weight;
}

double
directory_score (const char *instance, const char *organisation, double load,
                 double mean)
{
  uint64_t seed = XXH64 (organisation, strlen (organisation), 0);
  uint64_t hash = XXH64 (instance, strlen (instance), seed);
  /* Uniform between 0 and 1, both excluded.  */
  double uniform = ((double)(hash >> 11) + 0.5) / 9007199254740992.0;
  return weight_of (load, mean) / -log (uniform);
}

typedef struct
{
  session_member_t member;
  double score;
  bool home; /* in a region that the organisation allows */
} scored_member_t;

static int
compare_scores (const void *a, const void *b)
{
  const scored_member_t *left = a;
  const scored_member_t *right = b;
  if (left->home != right->home)
    return left->home ? -1 : 1;
  return (left->score < right->score) - (left->score > right->score);
}

bool
directory_includes (const kwf_core_t *core, const session_member_t *member)
{
  if (member->leaving || !member->caller_address
      || (stranded_is_member (core, member) && stranded_are_left_out (core)))
    return false;
  if (strcmp (member->instance, core->options.instance) == 0)
    return !core->stop.stopping;
  return session_member_reached (core->session, member);
}

static GArray *
score_members (kwf_core_t *core, const char *organisation)
{
  GArray *scored = g_array_new (FALSE, TRUE, sizeof (scored_member_t));
  double sum = 0;
  const kwf_lists_t *lists = config_lists (core->config);
  uint64_t excluded = regions_excluded_by (
      core->regions, NULL,
      lists ? kwf_lists_organisation (lists, organisation) : NULL);
  session_member_t member;
  size_t at = 0;
  while (session_next_member (core->session, &at, &member))
    {
      if (!directory_includes (core, &member))
        continue;
      scored_member_t scored_member = {
        .member = member,
        .home = !(regions_bit (core->regions, member.data_centre) & excluded)
      };
      g_array_append_val (scored, scored_member);
      sum += (double)member.load;
    }
  for (guint i = 0; i < scored->len; i++)
    {
      scored_member_t *scored_member
          = &g_array_index (scored, scored_member_t, i);
      scored_member->score = directory_score (
          scored_member->member.instance, organisation,
          (double)scored_member->member.load, sum / scored->len);
    }
  return scored;
}

void
directory_instances (kwf_core_t *core, const kwf_request_event_t *event,
                     const char *organisation, kwf_effects_t *effects)
{
  GArray *scored = score_members (core, organisation);
  if (organisation[0])
    {
      g_array_sort (scored, compare_scores);
      g_array_set_size (scored, MIN (scored->len, SUBSET_SIZE));
    }
  json_t *instances = json_array ();
  for (guint i = 0; i < scored->len; i++)
    {
      const session_member_t *member
          = &g_array_index (scored, scored_member_t, i).member;
      const char *centre = member->data_centre ? member->data_centre : "";
      json_array_append_new (instances, json_pack ("{s:s,s:s}", "address",
                                                   member->caller_address,
                                                   "data_centre", centre));
    }
  g_array_free (scored, TRUE);
  int64_t lifetime_ms = core->options.address_lifetime_ns / KWF_NS_PER_MS;
  reply_json (core, event, organisation,
              json_pack ("{s:o,s:I}", "instances", instances, "lifetime_ms",
                         (json_int_t)lifetime_ms),
              effects);
}

bool
kwf_core_has_member (const kwf_core_t *core, const char *instance,
                     uint64_t incarnation)
{
  return session_knows (core->session, instance, incarnation);
}

int64_t
kwf_core_feed_max_age_ns (const kwf_core_t *core)
{
  return fanout_max_age_ns (core->session);
}

int64_t
kwf_core_revision (const kwf_core_t *core)
{
  return session_revision (core->session);
}

void
kwf_core_feed_targets (const kwf_core_t *core, bool own, kwf_instance_fn_t fn,
                       void *data)
{
  fanout_feed_targets (core->session, own, fn, data);
}
