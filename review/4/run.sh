#!/usr/bin/env bash
# Plays the case after the build of the deploy file and review/build-2.sh. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/lynxplankd ] && [ -x target/review-2/case4 ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/case4 -record review/4/record.txt -trouble=$trouble
