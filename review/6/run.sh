#!/bin/sh
# TROUBLE=0 leaves the disruptions out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
