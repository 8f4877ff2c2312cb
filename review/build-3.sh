#!/bin/sh
# Checks that the stand-ins of the third review can run: they are in Python,
# without modules beyond its own library, and need no build.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
for file in "$here"/standins-3/*.py "$here"/1[1-5]/*.py; do
  [ -f "$file" ] || continue
  python3 -B -c 'import ast, sys; ast.parse (open (sys.argv[1]).read ())' \
    "$file"
done
