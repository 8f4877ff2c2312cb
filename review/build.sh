#!/bin/sh
# The stand-ins of the scripts are Python programs of the standard library
# alone: this checks that they compile.  The daemon is that of the deploy file.
set -eu
cd "$(dirname "$0")"
python=$(command -v python3 || echo /root/.pyenv/shims/python3)
"$python" - standins/*.py */case.py <<'END'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
END
test -x ../target/bin/knapweedforkd
