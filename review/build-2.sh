#!/bin/sh
# The stand-ins of this review are Python without further packages: this checks
# that they and the daemon of the deploy file can be started.
cd "$(dirname "$0")/.." || exit 1
python3 -m py_compile review/standins-2/*.py || exit 1
rm -rf review/standins-2/__pycache__
[ -x target/bin/knapweedforkd ] || { echo "target/bin/knapweedforkd is missing: build the deploy file first" >&2; exit 1; }
