#include "delivery.h"

typedef struct
{
  delivery_action_t action;
  delivery_t next;
} cell_t;

static const cell_t table[N_DELIVERIES][N_DELIVERY_INPUTS] = {
  [DELIVERY_NONE] = {
    [DELIVERY_EVENTS] = { DELIVER_BEGIN, DELIVERY_BEGUN },
    [DELIVERY_GAP] = { DELIVER_RETRY, DELIVERY_NONE },
    [DELIVERY_STREAM_END] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_ERROR] = { DELIVER_WHOLE, DELIVERY_ENDED },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_BEGUN] = {
    [DELIVERY_EVENTS] = { DELIVER_PASS, DELIVERY_BEGUN },
    [DELIVERY_GAP] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_STREAM_END] = { DELIVER_END, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_RETRY, DELIVERY_BEGUN },
    [DELIVERY_ERROR] = { DELIVER_BREAK, DELIVERY_BROKEN },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_ENDED] = {
    [DELIVERY_EVENTS] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_GAP] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_STREAM_END] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_ANSWER] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_ERROR] = { DELIVER_NOTHING, DELIVERY_ENDED },
    [DELIVERY_GONE] = { DELIVER_NOTHING, DELIVERY_ENDED },
  },
  [DELIVERY_BROKEN] = {
    [DELIVERY_EVENTS] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_GAP] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_STREAM_END] = { DELIVER_NOTHING, DELIVERY_BROKEN },
    [DELIVERY_ANSWER] = { DELIVER_NOTHING, DELIVERY_BROKEN },
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

const char *
delivery_name (delivery_t state)
{
  static const char *const names[N_DELIVERIES] = {
    [DELIVERY_NONE] = "none",
    [DELIVERY_BEGUN] = "begun",
    [DELIVERY_ENDED] = "ended",
    [DELIVERY_BROKEN] = "broken",
  };
  return names[state];
}

const char *
delivery_input_name (delivery_input_t input)
{
  static const char *const names[N_DELIVERY_INPUTS] = {
    [DELIVERY_EVENTS] = "events",  [DELIVERY_GAP] = "gap",
    [DELIVERY_STREAM_END] = "end", [DELIVERY_ANSWER] = "answer",
    [DELIVERY_ERROR] = "error",    [DELIVERY_GONE] = "gone",
  };
  return names[input];
}
