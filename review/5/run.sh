#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
# leaves the disruption out. Writes record.txt beside this script. Run review/build.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwort-router ] && [ -x target/review-cases ] || exit 2
exec target/review-cases leaving review/5
