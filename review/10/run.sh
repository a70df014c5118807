#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/lab2 ] && [ -x target/endivespoke ] || { echo "build first: the deploy file's build, review/build-2.sh"; exit 2; }
exec target/review-2/lab2 case rejoin review/10
