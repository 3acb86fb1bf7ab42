#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sassafrasd ] && [ -x target/review/release/review-standins ] || exit 2
timeout 110 target/review/release/review-standins large-heads review/4/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
