#include "delivery.h"

typedef struct
{
  delivery_action_t action;
  delivery_t next;
} cell_t;

static const cell_t table[N_DELIVERIES][N_DELIVERY_INPUTS] = {
  [DELIVERY_NONE] = {
    [DELIVERY_EVENTS] = { DELIVER_BEGIN, DELIVERY_BEGUN },
    [DELIVERY_OPEN_EVENTS] = { DELIVER_BEGIN_OPEN, DELIVERY_BEGUN_OPEN },
    [DELIVERY_GAP] = { DELIVER_RETRY, DELIVERY_NONE },
    [DELIVERY_STREAM_END] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_OPEN_END] = { DELIVER_WHOLE_OPEN, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_OPEN_ANSWER] = { DELIVER_WHOLE_OPEN, DELIVERY_ENDED },
    [DELIVERY_ERROR] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_BEGUN] = {
    [DELIVERY_EVENTS] = { DELIVER_PASS, DELIVERY_BEGUN },
    [DELIVERY_OPEN_EVENTS] = { DELIVER_PASS, DELIVERY_BEGUN },
    [DELIVERY_GAP] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_STREAM_END] = { DELIVER_END, DELIVERY_ENDED },
    /* The head announced a mark, which nobody gave.  */
    [DELIVERY_OPEN_END] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_ANSWER] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_OPEN_ANSWER] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_ERROR] = { DELIVER_BREAK, DELIVERY_BROKEN },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_BEGUN_OPEN] = {
    [DELIVERY_EVENTS] = { DELIVER_PASS, DELIVERY_BEGUN_OPEN },
    [DELIVERY_OPEN_EVENTS] = { DELIVER_PASS, DELIVERY_BEGUN_OPEN },
    [DELIVERY_GAP] = { DELIVER_RETRY, DELIVERY_BEGUN_OPEN },
    [DELIVERY_STREAM_END] = { DELIVER_END, DELIVERY_ENDED },
    [DELIVERY_OPEN_END] = { DELIVER_END, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_RETRY, DELIVERY_BEGUN_OPEN },
    [DELIVERY_OPEN_ANSWER] = { DELIVER_RETRY, DELIVERY_BEGUN_OPEN },
    [DELIVERY_ERROR] = { DELIVER_BREAK, DELIVERY_BROKEN },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_ENDED] = {
    [DELIVERY_EVENTS] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_OPEN_EVENTS] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_GAP] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_STREAM_END] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_OPEN_END] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_OPEN_ANSWER] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_ERROR] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_BROKEN] = {
    [DELIVERY_EVENTS] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_OPEN_EVENTS] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_GAP] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_STREAM_END] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_OPEN_END] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_ANSWER] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_OPEN_ANSWER] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_ERROR] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_BROKEN },
  },
};

delivery_action_t
delivery_action (delivery_t state, delivery_input_t input)
{
  return table[state][input].action;
}

delivery_action_t
delivery_step (delivery_t *state, delivery_input_t input)
{
  cell_t cell = table[*state][input];
  *state = cell.next;
  return cell.action;
}

bool
delivery_has_begun (delivery_t state)
{
  return state == DELIVERY_BEGUN || state == DELIVERY_BEGUN_OPEN;
}

delivery_input_t
delivery_events (bool by_close)
{
  return by_close ? DELIVERY_OPEN_EVENTS : DELIVERY_EVENTS;
}

delivery_input_t
delivery_end (bool by_close)
{
  return by_close ? DELIVERY_OPEN_END : DELIVERY_STREAM_END;
}

delivery_input_t
delivery_answer (bool by_close)
{
  return by_close ? DELIVERY_OPEN_ANSWER : DELIVERY_ANSWER;
}

const char *
delivery_name (delivery_t state)
{
  static const char *const names[N_DELIVERIES] = {
    [DELIVERY_NONE] = "none",
    [DELIVERY_BEGUN] = "begun",
    [DELIVERY_BEGUN_OPEN] = "begun without a mark of its end",
    [DELIVERY_ENDED] = "ended",
    [DELIVERY_BROKEN] = "broken",
  };
  return names[state];
}

const char *
delivery_input_name (delivery_input_t input)
{
  static const char *const names[N_DELIVERY_INPUTS] = {
    [DELIVERY_EVENTS] = "events",
    [DELIVERY_OPEN_EVENTS] = "events without a mark of their end",
    [DELIVERY_GAP] = "gap",
    [DELIVERY_STREAM_END] = "end",
    [DELIVERY_OPEN_END] = "end of the connection",
    [DELIVERY_ANSWER] = "answer",
    [DELIVERY_OPEN_ANSWER] = "answer that ended with its connection",
    [DELIVERY_ERROR] = "error",
    [DELIVERY_GONE] = "gone",
  };
  return names[input];
}
