/* common-fleet.h - a fleet of real processes on loopback, for tests.

   The platform stand-in, the instances, the engines and the services are nodes
   with a name.  Settings, logs and records are in one temporary directory.  If
   a function fails, it ends the program through fleet_fail.  */

#ifndef KNAPWEEDFORK_TEST_COMMON_FLEET_H
#define KNAPWEEDFORK_TEST_COMMON_FLEET_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "common-http.h"
#include "common-process.h"

typedef enum
{
  NODE_PLATFORM,
  NODE_INSTANCE,
  NODE_ENGINE,
  NODE_SERVICE
} node_kind_t;

typedef struct
{
  char *name;
  node_kind_t kind;
  const char *program;
  char **args; /* arguments of the program, for a restart */
  char *log;
  process_t process;
  char address[80];   /* port for callers, or the only port */
  char operators[80]; /* instance: operator port */
  char peers[80];     /* instance: port for other instances */
} fleet_node_t;

typedef struct
{
  char *directory;
  GPtrArray *nodes;    /* of fleet_node_t */
  GPtrArray *models;   /* names */
  GPtrArray *services; /* TOML text of each [[service]] */
  GPtrArray *names;    /* names of the services */
  GString *organisations;
  GString *plans;
  GHashTable *keys;   /* name of a key to the key */
  json_int_t version; /* newest lists version that an apply returned */
} fleet_t;

fleet_t *fleet_new (void);

/* Stop every process and remove the directory.  */
void fleet_free (fleet_t *fleet);

/* Print the message and the end of each log, stop every process and exit
   with status 1.  */
_Noreturn void fleet_fail (const char *format, ...) G_GNUC_PRINTF (1, 2);

fleet_node_t *fleet_node (fleet_t *fleet, const char *name);

/* Instances named in TEXT: "all", or names separated by commas.  Free with
   g_ptr_array_free.  */
GPtrArray *fleet_instances (fleet_t *fleet, const char *text);

/* Copy the address that callers use at present.  It changes when the node is
   restarted.  Safe from any thread.  */
void fleet_address (const fleet_node_t *node, char address[80]);

/* Add an instance.  EXTRA are settings "section.field=value", ending with
   NULL.  */
void fleet_add_instance (fleet_t *fleet, const char *name, char *const *extra);
/* OPTIONS are "option=value" or "option", ending with NULL.  */
void fleet_add_engine (fleet_t *fleet, const char *name, char *const *options);
void fleet_add_service (fleet_t *fleet, const char *name,
                        char *const *options);
void fleet_start (fleet_t *fleet, fleet_node_t *node);

/* Add an organisation and a plan of the same name, with every model and
   service added so far.  */
void fleet_add_organisation (fleet_t *fleet, const char *name, double rate,
                             double burst);

/* Body of POST /lists for the organisations, plans, models and services added
   so far, edited from VERSION.  Free with free.  */
char *fleet_lists_body (const fleet_t *fleet, json_int_t version);

/* Send a request to the operator port of an instance.  BODY may be NULL.  */
http_answer_t fleet_operate (const fleet_node_t *node, const char *method,
                             const char *target, const char *body);
/* Version of the lists in force at an instance; -1 if it does not answer.  */
json_int_t fleet_version (const fleet_node_t *node);
bool fleet_is_ready (const fleet_node_t *node);

/* Add a key NAME of ORGANISATION; withdraw it.  The latter returns the HTTP
   status.  */
void fleet_add_key (fleet_t *fleet, const fleet_node_t *node, const char *name,
                    const char *organisation);
int fleet_withdraw_key (fleet_t *fleet, const fleet_node_t *node,
                        const char *name);

/* Value of "NAME=value" in OPTIONS, or OTHERWISE if it is missing.  */
const char *fleet_option (char *const *options, const char *name,
                          const char *otherwise);
bool fleet_flag (char *const *options, const char *name);

#endif
