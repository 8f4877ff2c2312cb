/* versions.h - the software versions that may have run a service lately, as
   the list of servers and the row origin/SERVICE say.  */

#ifndef KNAPWEEDFORK_ORIGIN_VERSIONS_H
#define KNAPWEEDFORK_ORIGIN_VERSIONS_H

#include <glib.h>
#include <knapweedfork/event.h>
#include <knapweedfork/store.h>

#define VERSIONS_PREFIX "origin/"

typedef struct
{
  char *service;
  GArray *present;  /* of uint64_t: in the list of servers */
  GArray *row;      /* of uint64_t: in the row */
  GArray *kept;     /* of uint64_t: in one of them now, or before */
  int64_t version;  /* revision up to which the row is known */
  bool exists;      /* there is a row */
  bool is_old;      /* it was written in an earlier era of the store, so that a
                       later one may be lost */
  bool doubtful;    /* and this process does not know what was in that */
  int64_t alone_ns; /* since then at most one is present; 0: several are */
  GArray *writing;  /* of uint64_t: in the row that is being written */
  int64_t grown_ns; /* since when a version is present that the row lacks; 0:
                       there is none */
  int64_t write_ns; /* when this instance writes the row; 0: not due */
  kwf_handle_t op;  /* of the open write; 0: none */
} versions_t;

versions_t *versions_new (const char *service);
void versions_free (void *versions);

/* Whether streams of more than one version may be under way.  */
bool versions_are_several (const versions_t *versions);
/* Sets SOFTWARE to the only version; false: there is none, or several.  */
bool versions_only (const versions_t *versions, uint64_t *software);

/* Sets which versions are in the list of servers: SOFTWARE of the members of
   this service in MEMBERS.  Returns whether that changed.  */
bool versions_set_present (versions_t *versions,
                           const kwf_members_event_t *members, int64_t now_ns);
/* Whether the row has SOFTWARE.  */
bool versions_has (const versions_t *versions, uint64_t software);

/* Takes over the row.  */
void versions_apply_row (versions_t *versions, const kwf_row_t *row,
                         int64_t now_ns);

/* Forgets the versions of which no stream can be any more.  */
void versions_settle (versions_t *versions, int64_t now_ns);

/* Whether the row lacks a version that is present, or has one that no stream
   can be of any more.  */
bool versions_need_row (const versions_t *versions, int64_t now_ns);
/* When versions_need_row may become true without a change; INT64_MAX:
   never.  */
int64_t versions_next_ns (const versions_t *versions);
/* Text of the row that is needed, written in ERA; free with g_free.  */
char *versions_row_text (versions_t *versions, int64_t era, int64_t now_ns);
/* That row was written.  */
void versions_row_written (versions_t *versions);

#endif
