#include "demand.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* On both deployments the most requested models change within seconds.  With
   10 s one engine received most requests of the next popular model for 6
   s.  */
#define DECAY_S 3.0
/* The fleet's sums are recomputed after this time; much less than DECAY_S.  */
#define SUMS_MAX_AGE_NS (50 * KWF_NS_PER_MS)
/* With at least this many other instances, a local change doesn't invalidate
   the sums; only SUMS_MAX_AGE_NS does.  */
#define MANY_INSTANCES 32
/* A model is cold after this time without a request.  */
#define COLD_NS (60 * KWF_NS_PER_S)

/* Demand of one instance for one model or adapter.  */
typedef struct
{
  double rate; /* tokens per second at rate_ns */
  int64_t rate_ns;
  int64_t last_ns; /* last request; for other instances, last row that
                      listed it */
  int priority;
  double waiting;      /* tokens of the waiting requests */
  int64_t deadline_ns; /* latest deadline of the waiting requests */
  uint64_t excluded;
} item_t;

typedef struct
{
  GHashTable *by_name; /* "MODEL", "MODEL/ADAPTER" or "MODEL/" -> sum_t */
  int64_t at_ns;
  bool valid;
} demand_sums_t;

struct demand
{
  const kwf_clock_t *clock;
  demand_sums_t *sums;
  GHashTable *own;    /* "MODEL" or "MODEL/ADAPTER" -> item_t */
  GHashTable *others; /* instance -> table like own */
  bool new_waiting;
};

static GHashTable *
new_items (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

demand_t *
demand_new (const kwf_clock_t *clock)
{
  demand_t *demand = g_new0 (demand_t, 1);
  demand->clock = clock;
  demand->own = new_items ();
  demand->sums = g_new0 (demand_sums_t, 1);
  demand->sums->by_name = new_items ();
  demand->others = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_hash_table_unref);
  return demand;
}

void
demand_free (demand_t *demand)
{
  if (!demand)
    return;
  g_hash_table_unref (demand->own);
  g_hash_table_unref (demand->others);
  g_hash_table_unref (demand->sums->by_name);
  g_free (demand->sums);
  g_free (demand);
}

static char *
item_key (const char *model, const char *adapter)
{
  return adapter && *adapter ? g_strconcat (model, "/", adapter, NULL)
                             : g_strdup (model);
}

static double
decayed_rate (const item_t *item, int64_t now_ns)
{
  double age_s = (double)(now_ns - item->rate_ns) / (double)KWF_NS_PER_S;
  return item->rate * exp (-age_s / DECAY_S);
}

/* Invalidate the sums, except in a large fleet, where one instance's request
   changes them too little to matter.  */
static void
invalidate_sums (demand_t *demand)
{
  if (g_hash_table_size (demand->others) < MANY_INSTANCES)
    demand->sums->valid = false;
}

/* Return this instance's item of the name, created if needed, with the rate
   decayed up to now and the current time as its last request.  */
static item_t *
touch_item (demand_t *demand, const char *model, const char *adapter)
{
  char *name = item_key (model, adapter);
  item_t *item = g_hash_table_lookup (demand->own, name);
  int64_t now_ns = kwf_now_ns (demand->clock);
  if (item)
    g_free (name);
  else
    {
      item = g_new0 (item_t, 1);
      g_hash_table_insert (demand->own, name, item);
    }
  invalidate_sums (demand);
  item->rate = decayed_rate (item, now_ns);
  item->rate_ns = now_ns;
  item->last_ns = now_ns;
  return item;
}

void
demand_add_tokens (demand_t *demand, const char *model, const char *adapter,
                   double tokens)
{
  touch_item (demand, model, adapter)->rate += tokens / DECAY_S;
}

void
demand_set_waiting (demand_t *demand, const char *model, const char *adapter,
                    int priority, double tokens, int64_t deadline_ns)
{
  item_t *item = touch_item (demand, model, adapter);
  bool waits = item->deadline_ns > item->rate_ns;
  if (!waits || priority < item->priority)
    demand->new_waiting = true;
  item->priority = priority;
  item->waiting = tokens;
  item->deadline_ns = deadline_ns;
}

void
demand_set_excluded (demand_t *demand, const char *model, const char *adapter,
                     uint64_t excluded)
{
  char *name = item_key (model, adapter);
  item_t *item = g_hash_table_lookup (demand->own, name);
  if (item && item->excluded != excluded)
    {
      item->excluded = excluded;
      invalidate_sums (demand);
    }
  g_free (name);
}

void
demand_clear_waiting (demand_t *demand, const char *model, const char *adapter)
{
  char *name = item_key (model, adapter);
  item_t *item = g_hash_table_lookup (demand->own, name);
  if (item)
    item->deadline_ns = 0;
  invalidate_sums (demand);
  g_free (name);
}

bool
demand_consume_new_waiting (demand_t *demand)
{
  bool new_waiting = demand->new_waiting;
  demand->new_waiting = false;
  return new_waiting;
}

char *
demand_to_json (demand_t *demand)
{
  int64_t now_ns = kwf_now_ns (demand->clock);
  json_t *rates = json_object ();
  json_t *wanted = json_object ();
  json_t *excluded = json_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  g_hash_table_iter_init (&iter, demand->own);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const item_t *item = value;
      if (now_ns - item->last_ns >= COLD_NS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      /* Three decimals keep the row short.  */
      double rate = round (decayed_rate (item, now_ns) * 1000) / 1000;
      json_object_set_new (rates, name, json_real (rate));
      if (item->deadline_ns > now_ns)
        json_object_set_new (
            wanted, name,
            json_pack ("[i,f,I]", item->priority, item->waiting,
                       (json_int_t)(item->deadline_ns - now_ns)
                           / KWF_NS_PER_MS));
      if (item->deadline_ns > now_ns && item->excluded)
        json_object_set_new (excluded, name,
                             json_integer ((json_int_t)item->excluded));
    }
  json_t *object = json_pack ("{s:o,s:o}", "demand", rates, "wanted", wanted);
  if (json_object_size (excluded))
    json_object_set (object, "excluded", excluded);
  json_decref (excluded);
  char *text = json_dumps (object, JSON_COMPACT | JSON_SORT_KEYS);
  char *copy = g_strdup (text);
  free (text);
  json_decref (object);
  return copy;
}

static GHashTable *
parse_items (json_t *object, int64_t now_ns)
{
  GHashTable *items = new_items ();
  json_t *wanted = json_object_get (object, "wanted");
  const char *name;
  json_t *value;
  json_object_foreach (json_object_get (object, "demand"), name, value)
  {
    item_t *item = g_new0 (item_t, 1);
    *item = (item_t){ .rate = MAX (json_number_value (value), 0),
                      .rate_ns = now_ns,
                      .last_ns = now_ns };
    json_t *wait = json_object_get (wanted, name);
    if (json_array_size (wait) == 3)
      {
        item->priority = (int)json_integer_value (json_array_get (wait, 0));
        item->waiting = json_number_value (json_array_get (wait, 1));
        int64_t left_ms = json_integer_value (json_array_get (wait, 2));
        left_ms = CLAMP (left_ms, 0, INT64_C (86400000));
        item->deadline_ns = now_ns + left_ms * KWF_NS_PER_MS;
        item->excluded = (uint64_t)json_integer_value (
            json_object_get (json_object_get (object, "excluded"), name));
      }
    g_hash_table_insert (items, g_strdup (name), item);
  }
  return items;
}

void
demand_apply_row (demand_t *demand, const char *instance, const char *value)
{
  if (!value)
    {
      g_hash_table_remove (demand->others, instance);
      return;
    }
  json_t *object = json_loads (value, 0, NULL);
  if (json_is_object (object))
    g_hash_table_replace (demand->others, g_strdup (instance),
                          parse_items (object, kwf_now_ns (demand->clock)));
  json_decref (object);
}

/* Demand summed over the fleet.  */
typedef struct
{
  double rate;
  int64_t last_ns;
  demand_wait_t wait;
} sum_t;

static void
add_item (GHashTable *sums, const char *name, size_t length,
          const item_t *item, int64_t now_ns)
{
  char *key = g_strndup (name, length);
  sum_t *sum = g_hash_table_lookup (sums, key);
  if (sum)
    g_free (key);
  else
    {
      sum = g_new0 (sum_t, 1);
      sum->last_ns = INT64_MIN;
      g_hash_table_insert (sums, key, sum);
    }
  sum->rate += decayed_rate (item, now_ns);
  sum->last_ns = MAX (sum->last_ns, item->last_ns);
  if (item->deadline_ns <= now_ns)
    return;
  demand_wait_t *wait = &sum->wait;
  if (!wait->waiting || item->priority < wait->priority)
    wait->excluded = item->excluded;
  wait->priority
      = wait->waiting ? MIN (wait->priority, item->priority) : item->priority;
  wait->waiting = true;
  wait->tokens += item->waiting;
  wait->deadline_ns = MAX (wait->deadline_ns, item->deadline_ns);
}

/* Add ITEMS to SUMS.  The key "MODEL/" holds the sum of a model with all its
   adapters.  */
static void
add_items (GHashTable *sums, GHashTable *items, int64_t now_ns)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, items);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const char *name = key;
      const char *slash = strchr (name, '/');
      char *all = g_strdup_printf (
          "%.*s/", slash ? (int)(slash - name) : (int)strlen (name), name);
      add_item (sums, name, strlen (name), value, now_ns);
      add_item (sums, all, strlen (all), value, now_ns);
      g_free (all);
    }
}

/* Return the sum of a model or adapter.  The sums are cached because the
   placement policy reads all of them at once.  */
static sum_t
sum_of (const demand_t *demand, const char *model, const char *adapter)
{
  demand_sums_t *sums = demand->sums;
  int64_t now_ns = kwf_now_ns (demand->clock);
  if (!sums->valid || now_ns - sums->at_ns > SUMS_MAX_AGE_NS)
    {
      g_hash_table_remove_all (sums->by_name);
      add_items (sums->by_name, demand->own, now_ns);
      GHashTableIter iter;
      gpointer items;
      g_hash_table_iter_init (&iter, demand->others);
      while (g_hash_table_iter_next (&iter, NULL, &items))
        add_items (sums->by_name, items, now_ns);
      sums->valid = true;
      sums->at_ns = now_ns;
    }
  char *name
      = adapter ? item_key (model, adapter) : g_strconcat (model, "/", NULL);
  const sum_t *sum = g_hash_table_lookup (sums->by_name, name);
  g_free (name);
  return sum ? *sum : (sum_t){ .last_ns = INT64_MIN };
}

double
demand_rate (const demand_t *demand, const char *model, const char *adapter)
{
  return sum_of (demand, model, adapter).rate;
}

demand_wait_t
demand_waiting (const demand_t *demand, const char *model, const char *adapter)
{
  return sum_of (demand, model, adapter).wait;
}

bool
demand_is_cold (const demand_t *demand, const char *model, const char *adapter)
{
  int64_t last_ns = sum_of (demand, model, adapter).last_ns;
  return last_ns == INT64_MIN
         || kwf_now_ns (demand->clock) - last_ns >= COLD_NS;
}

int64_t
demand_last_request_ns (const demand_t *demand, const char *model)
{
  return sum_of (demand, model, NULL).last_ns;
}

bool
demand_any (const demand_t *demand)
{
  return g_hash_table_size (demand->own) || g_hash_table_size (demand->others);
}
