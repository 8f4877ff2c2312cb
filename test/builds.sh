#!/bin/sh
# Usage: test/builds.sh DIRECTORY COMMIT...
# Builds the daemon of each COMMIT below DIRECTORY, outside of the repository,
# and plays test_builds with instances of it beside those of this build.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
directory=$1
shift
failed=0
for commit in "$@"; do
  source=$directory/source-$commit
  build=$directory/build-$commit
  [ -d "$source" ] || git clone -q "$top" "$source"
  git -C "$source" checkout -q "$commit"
  cmake -S "$source" -B "$build" -DKWF_DAEMON_ONLY=ON > "$build.log"
  cmake --build "$build" -j "$(nproc)" >> "$build.log"
  for split in 0 1 2 3; do
    echo "== $commit, split $split"
    KWF_OLD_DAEMON=$build/bin/knapweedforkd KWF_BUILDS_SPLIT=$split \
      "$top/build/bin/test_builds" || failed=1
  done
done
exit $failed
