#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")" || exit 2
python=$(command -v python3 || echo /root/.pyenv/shims/python3)
timeout -k 2 118 "$python" case.py
status=$?
case $status in
  0 | 1) exit $status ;;
  *) exit 2 ;;
esac
