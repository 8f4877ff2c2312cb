/* regions.h - the regions of the data centres, and the home regions of routes
   and organisations: requests are sent only to servers of the regions that
   both allow.

   Load pattern: organisations that may be served in some regions only, while
   the servers of the others have room.

   A set of regions is a mask with one bit for each region that the settings
   name.  Masks are kept as the regions that are excluded, so that 0 excludes
   nothing.  Without the table [regions] in the settings, all data centres are
   one region, and nothing is excluded.  */

#ifndef KNAPWEEDFORK_REGIONS_H
#define KNAPWEEDFORK_REGIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include <knapweedfork/lists.h>

/* The bit of all data centres that the settings do not name.  */
#define REGION_UNKNOWN (UINT64_C (1) << KWF_REGIONS_MAX)

typedef struct regions regions_t;

regions_t *regions_new (const kwf_region_t *list, size_t n);
void regions_free (regions_t *regions);

/* Bit of the region of DATA_CENTRE; 0: there is no table.  */
uint64_t regions_bit (const regions_t *regions, const char *data_centre);

/* The regions that are not among the N names of ALLOWED.  ALLOWED NULL:
   none.  */
uint64_t regions_excluded (const regions_t *regions,
                           const char *const *allowed, size_t n);

/* The regions that ROUTE or ORGANISATION does not allow.  Either may be
   NULL.  */
uint64_t regions_excluded_by (const regions_t *regions,
                              const kwf_route_t *route,
                              const kwf_organisation_t *organisation);

#endif
