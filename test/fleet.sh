# Starts a small fleet on loopback; to be sourced.  Sets DIR, PLATFORM,
# CALLERS (list), OPERATORS (list) and the functions below.  Every process
# started here is stopped by its id when the shell exits.

BIN=${BIN:?set BIN to the directory of the programs}
DIR=$(mktemp -d)
PIDS=

stop_fleet () {
  # SIGINT during its stop ends an instance that would wait for its callers.
  for pid in $PIDS; do kill "$pid" 2>/dev/null || true; done
  sleep 0.1
  for pid in $PIDS; do kill -INT "$pid" 2>/dev/null || true; done
  for pid in $PIDS; do
    for _ in $(seq 100); do
      kill -0 "$pid" 2>/dev/null || break
      sleep 0.05
    done
    kill -9 "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$DIR"
}
trap stop_fleet EXIT
trap 'exit 1' INT TERM

# start NAME PROGRAM ARGS...: run in the background; ADDRESS is what it
# listens on, LINE the whole line that says so.
start () {
  name=$1
  shift
  "$@" > "$DIR/$name.out" 2> "$DIR/$name.log" &
  LAST_PID=$!
  PIDS="$LAST_PID $PIDS"
  for _ in $(seq 200); do
    LINE=$(grep '^listening on' "$DIR/$name.out" 2>/dev/null) && break
    kill -0 "$LAST_PID" 2>/dev/null || break
    sleep 0.02
  done
  [ -n "${LINE:-}" ] || { echo "$name did not start:"; cat "$DIR/$name.out" "$DIR/$name.log"; exit 1; }
  ADDRESS=$(echo "$LINE" | sed 's/^listening on \([0-9.:]*\).*/\1/')
}

start_platform () {
  start platform "$BIN/standin-platform" --listen 127.0.0.1:0 "$@"
  PLATFORM=$ADDRESS
}

# start_instance ID DATA_CENTRE [EXTRA_SETTINGS]
start_instance () {
  umask 077
  printf 'an operator token of the demo' > "$DIR/token"
  printf 'a fleet secret of the demo, 32 bytes' > "$DIR/secret"
  printf 'a key pepper of the demo, 32 bytes..' > "$DIR/pepper"
  cat > "$DIR/$1.toml" <<END
[instance]
id = "$1"
data_centre = "$2"
[callers]
listen = "127.0.0.1:0"
${3:-}
[operator]
listen = "127.0.0.1:0"
token_file = "token"
[peers]
listen = "127.0.0.1:0"
secret_file = "secret"
[platform]
address = "$PLATFORM"
[keys]
pepper_file = "pepper"
END
  start "$1" "$BIN/knapweedforkd" --config "$DIR/$1.toml"
  CALLERS="${CALLERS:-} $ADDRESS"
  OPERATORS="${OPERATORS:-} $(echo "$LINE" | sed 's/.*operators on //; s/,.*//')"
}

first () { echo "$1"; }

# operate ARGS...: the operator command towards the first instance.
operate () {
  # shellcheck disable=SC2086
  "$BIN/knapweedfork" --instance "$(first $OPERATORS)" \
    --token-file "$DIR/token" "$@"
}

# ready: wait until every instance is ready.
ready () {
  for operator in $OPERATORS; do
    for _ in $(seq 200); do
      curl -sf "http://$operator/ready" > /dev/null && break
      sleep 0.05
    done
    curl -sf "http://$operator/ready" > /dev/null \
      || { echo "$operator is not ready"; exit 1; }
  done
}
