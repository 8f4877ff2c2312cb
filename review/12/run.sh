#!/bin/sh
# Plays the case against the build of the deploy file; with TROUBLE=0, without
# its disruption.  Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
here=$(cd "$(dirname "$0")" && pwd)
[ -x "$here/../../target/bin/knapweedforkd" ] || exit 2
python3 -B "$here/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
