#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/review-standin ]; then
	echo "NOT RUN: target/review-standin is not built" | tee "$here/record.txt" >&2
	exit 2
fi
exec target/review-standin hangup "$here/record.txt"
