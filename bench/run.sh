#!/bin/bash
# Usage: bench/run.sh BIN full|quick
# Runs the measurements; prints one JSON object a line:
# {"bench":…,"metric":…,"value":…,"unit":…,"baseline":…}
# bench_core, bench_server, bench_client and bench_engine measure single
# modules and print text; run them by hand.
set -eu
BIN=$1
MODE=$2
here=$(dirname "$0")
bash "$here/path.sh" "$BIN" "$MODE"
"$BIN/bench_state" "--$MODE"
"$BIN/bench_limit" "$MODE"
if [ "$MODE" = full ]; then
  "$BIN/bench_share" 10
  bash "$here/queue.sh" "$BIN" 5
  bash "$here/experiment.sh" "$BIN" full
  LOAD=2 bash "$here/experiment.sh" "$BIN" full product least-load
  bash "$here/control.sh" "$BIN" full
else
  "$BIN/bench_share" 1
  bash "$here/queue.sh" "$BIN" 1
  bash "$here/experiment.sh" "$BIN" quick
fi
