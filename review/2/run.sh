#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/pomelotiller ] && [ -x target/review-stage ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stage -case preempted-streams -record review/2/record.txt -trouble=$trouble
