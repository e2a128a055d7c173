#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. What was sent, answered and run stands in review/6/record.txt
# afterwards. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/cases gang-end review/6
