#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3 ] && [ -x target/ragwort-router ] || exit 2
RECORD=review/13/record.txt target/review-3 case forgotten
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
