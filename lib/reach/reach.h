/* reach.h - whether this instance reaches the backend servers.  An instance
   whose connections to all servers fail sees the same as one whose servers
   have all failed.  The others know which of the two it is: they get answers
   from the same servers, or they do not.  So an instance that is in doubt asks
   some servers on new connections, and the other instances which servers
   answer them; then it asks these.  If none answers here, and after each of
   two questions one of them has answered another instance, this instance is
   stranded.  It then asks now and then until a server answers again.

   What leads to doubt: no byte from any server while some have open requests,
   or failed connections to several servers.  */

#ifndef KNAPWEEDFORK_REACH_REACH_H
#define KNAPWEEDFORK_REACH_REACH_H

#include <glib.h>
#include <knapweedfork/core.h>

typedef struct reach reach_t;

typedef enum
{
  REACH_FINE,
  REACH_DOUBT,
  REACH_STRANDED
} reach_state_t;

/* A question to a server that has not answered since.  */
typedef struct
{
  int64_t at_ns; /* 0: there is none */
  bool alive;    /* the server was known to answer other instances then */
} reach_question_t;

/* What is kept of each server.  */
typedef struct
{
  int64_t answered_ns;  /* last byte from it; 0: none */
  int64_t failed_ns;    /* last connection or question to it that failed */
  int64_t elsewhere_ns; /* when another instance last told that it answers; 0:
                           never */
  int64_t asked_ns;     /* when it was asked last */
  int n_asked;          /* questions that are open */
  reach_question_t last;
  reach_question_t before_last;
} reach_mark_t;

typedef struct
{
  const char *id;
  const char *service;
  reach_mark_t *mark;
  int n_open;   /* requests that are open there */
  bool may_ask; /* its limit on calls allows a question */
} reach_server_t;

/* The surroundings of the module.  */
typedef struct reach_world reach_world_t;
typedef struct
{
  /* Appends reach_server_t of all servers that may be asked.  */
  void (*list_servers) (reach_world_t *world, GArray *servers);
  /* Asks a server something on a connection of its own; reach_handle_answer
     with ASKED_NS follows.  */
  void (*ask_server) (reach_world_t *world, const char *id, int64_t asked_ns);
  /* Sends MESSAGE, of type REACH_QUERY, to the linked hubs.  */
  void (*ask_hubs) (reach_world_t *world, const kwf_message_t *message);
  /* The state has become STRANDED, or is no more, or is repeated.  */
  void (*tell) (reach_world_t *world, bool stranded);
} reach_world_ops_t;

struct reach_world
{
  const reach_world_ops_t *ops;
};

reach_t *reach_new (const kwf_core_options_t *options);
void reach_free (reach_t *reach);

reach_state_t reach_state (const reach_t *reach);
/* Whether this instance is stranded, or in doubt and no server has answered in
   a whole round of questions.  */
bool reach_is_unanswered (const reach_t *reach);

/* Bytes arrived from the server of MARK, or a connection to it failed.  */
void reach_note_data (reach_t *reach, reach_mark_t *mark);
void reach_note_failure (reach_t *reach, reach_mark_t *mark);
/* The server of MARK, which was asked at ASKED_NS, has answered, or has
   not.  */
void reach_handle_answer (reach_t *reach, reach_mark_t *mark, int64_t asked_ns,
                          bool answered);

/* Appends to NAMES servers that have answered this instance within the time
   that QUERY names: those that it names first.  */
void reach_answer_query (const reach_t *reach, reach_world_t *world,
                         const kwf_reach_query_t *query, GPtrArray *names);

/* Another instance has answered a question.  */
void reach_handle_reply (reach_t *reach, reach_world_t *world,
                         const kwf_reach_reply_t *reply);

/* Runs what is due; call it at each step.  */
void reach_run (reach_t *reach, reach_world_t *world);
/* ANY_OPEN: requests are open at servers.  */
int64_t reach_next_tick_ns (const reach_t *reach, bool any_open);

/* Appends metrics in the Prometheus text format.  */
void reach_write_metrics (const reach_t *reach, GString *out);

#endif
