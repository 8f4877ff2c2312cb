#include "versions.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../revision.h"
#include "origin.h"

/* Versions in a row at most; another writer may have left more.  */
#define VERSIONS_MAX 16
#define SETTLED_MARGIN_NS (5 * KWF_NS_PER_S)

versions_t *
versions_new (const char *service)
{
  versions_t *versions = g_new0 (versions_t, 1);
  versions->service = g_strdup (service);
  versions->present = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  versions->row = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  versions->kept = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  versions->writing = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  return versions;
}

void
versions_free (void *data)
{
  versions_t *versions = data;
  g_array_free (versions->present, TRUE);
  g_array_free (versions->row, TRUE);
  g_array_free (versions->kept, TRUE);
  g_array_free (versions->writing, TRUE);
  g_free (versions->service);
  g_free (versions);
}

static bool
has (const GArray *list, uint64_t software)
{
  for (guint i = 0; i < list->len; i++)
    if (g_array_index (list, uint64_t, i) == software)
      return true;
  return false;
}

static void
add (GArray *list, uint64_t software)
{
  if (list->len < VERSIONS_MAX && !has (list, software))
    g_array_append_val (list, software);
}

/* How many versions are in either list; SOFTWARE is one of them.  */
static guint
count (const versions_t *versions, uint64_t *software)
{
  guint n = versions->kept->len;
  if (n)
    *software = g_array_index (versions->kept, uint64_t, 0);
  for (guint i = 0; i < versions->present->len; i++)
    {
      uint64_t present = g_array_index (versions->present, uint64_t, i);
      if (has (versions->kept, present))
        continue;
      *software = present;
      n++;
    }
  return n;
}

bool
versions_are_several (const versions_t *versions)
{
  uint64_t software;
  return versions->doubtful || count (versions, &software) > 1;
}

bool
versions_only (const versions_t *versions, uint64_t *software)
{
  return !versions->doubtful && count (versions, software) == 1;
}

static void
add_all (GArray *list, const GArray *from)
{
  for (guint i = 0; i < from->len; i++)
    add (list, g_array_index (from, uint64_t, i));
}

static bool
has_all (const GArray *list, const GArray *wanted)
{
  for (guint i = 0; i < wanted->len; i++)
    if (!has (list, g_array_index (wanted, uint64_t, i)))
      return false;
  return true;
}

bool
versions_has (const versions_t *versions, uint64_t software)
{
  return has (versions->row, software);
}

static void
note_growth (versions_t *versions, int64_t now_ns)
{
  if (has_all (versions->row, versions->present))
    versions->grown_ns = 0;
  else if (!versions->grown_ns)
    versions->grown_ns = now_ns;
}

bool
versions_set_present (versions_t *versions, const kwf_members_event_t *members,
                      int64_t now_ns)
{
  GArray *present = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (size_t i = 0; i < members->n_members; i++)
    {
      const kwf_member_t *member = &members->members[i];
      if (member->software && strcmp (member->name, versions->service) == 0)
        add (present, member->software);
    }
  bool same = present->len == versions->present->len
              && has_all (present, versions->present);
  g_array_free (versions->present, TRUE);
  versions->present = present;
  add_all (versions->kept, present);
  note_growth (versions, now_ns);
  if (present->len > 1)
    versions->alone_ns = 0;
  else if (!versions->alone_ns || !same)
    versions->alone_ns = now_ns;
  return !same;
}

/* Whether streams of versions that are not present have all ended.  The views
   of two instances may differ by MARGIN_NS.  */
static bool
has_settled (const versions_t *versions, int64_t margin_ns, int64_t now_ns)
{
  return versions->present->len == 1 && versions->alone_ns
         && now_ns - versions->alone_ns >= ORIGIN_KEEP_NS - margin_ns;
}

void
versions_apply_row (versions_t *versions, const kwf_row_t *row, int64_t now_ns)
{
  if (row->version <= versions->version)
    return;
  bool known = versions->version > 0;
  versions->version = row->version;
  versions->exists = row->value != NULL;
  g_array_set_size (versions->row, 0);
  json_t *root = row->value ? json_loads (row->value, 0, NULL) : NULL;
  size_t i;
  const json_t *item;
  json_array_foreach (json_object_get (root, "versions"), i, item)
  {
    const char *text = json_string_value (item);
    if (text)
      add (versions->row, strtoull (text, NULL, 16));
  }
  int64_t era = json_integer_value (json_object_get (root, "era"));
  json_decref (root);
  versions->is_old = era < revision_era (row->version);
  versions->doubtful = versions->is_old && (!known || versions->doubtful);
  if (has_settled (versions, SETTLED_MARGIN_NS, now_ns))
    g_array_set_size (versions->kept, 0);
  add_all (versions->kept, versions->row);
  add_all (versions->kept, versions->present);
  note_growth (versions, now_ns);
}

void
versions_settle (versions_t *versions, int64_t now_ns)
{
  if (!has_settled (versions, 0, now_ns))
    return;
  versions->doubtful = false;
  g_array_set_size (versions->kept, 0);
  add_all (versions->kept, versions->row);
  add_all (versions->kept, versions->present);
}

bool
versions_need_row (const versions_t *versions, int64_t now_ns)
{
  if (!has_all (versions->row, versions->present)
      || (versions->is_old && !versions->doubtful))
    return true;
  return has_settled (versions, 0, now_ns)
             ? versions->row->len > 1
             : !has_all (versions->row, versions->kept);
}

int64_t
versions_next_ns (const versions_t *versions)
{
  return versions->row->len > 1 && versions->alone_ns
             ? versions->alone_ns + ORIGIN_KEEP_NS
             : INT64_MAX;
}

char *
versions_row_text (versions_t *versions, int64_t era, int64_t now_ns)
{
  GArray *list = versions->writing;
  g_array_set_size (list, 0);
  if (!has_settled (versions, 0, now_ns))
    add_all (list, versions->kept);
  add_all (list, versions->present);
  GString *text = g_string_new ("{\"versions\":[");
  for (guint i = 0; i < list->len; i++)
    g_string_append_printf (text, "%s\"%016" G_GINT64_MODIFIER "x\"",
                            i ? "," : "", g_array_index (list, uint64_t, i));
  g_string_append_printf (text, "],\"era\":%" G_GINT64_FORMAT "}",
                          versions->doubtful ? 0 : era);
  return g_string_free (text, FALSE);
}

void
versions_row_written (versions_t *versions)
{
  add_all (versions->row, versions->writing);
  if (has_all (versions->row, versions->present))
    versions->grown_ns = 0;
}
