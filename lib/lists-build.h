/* lists-build.h - builds kwf_lists_t from data instead of TOML text.

   Each function copies ITEM with its strings and arrays.  It returns false if
   the lists already have an item of this name or, for a route, one of the same
   host and prefix.  */

#ifndef KNAPWEEDFORK_LIB_LISTS_BUILD_H
#define KNAPWEEDFORK_LIB_LISTS_BUILD_H

#include <knapweedfork/lists.h>

kwf_lists_t *lists_new (void);
bool lists_add_model (kwf_lists_t *lists, const kwf_model_t *item);
bool lists_add_service (kwf_lists_t *lists, const kwf_service_t *item);
bool lists_add_organisation (kwf_lists_t *lists,
                             const kwf_organisation_t *item);
bool lists_add_route (kwf_lists_t *lists, const kwf_route_t *item);

#endif
