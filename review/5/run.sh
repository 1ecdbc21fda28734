#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
standin=../../target/review-standin daemon=../../target/laburnumpassd
if [ ! -x "$standin" ] || [ ! -x "$daemon" ]; then
	echo "run the build of the deploy file and review/build.sh first"
	exit 2
fi
exec "$standin" cut-runner "$daemon" record.txt
