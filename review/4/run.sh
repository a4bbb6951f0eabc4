#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run; TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
timeout -k 2 117 python3 scene.py
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
