#!/bin/sh
# Plays this case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review2 ] || { echo "run review/build-2.sh first"; exit 2; }
exec target/review2 backlog review/8/record.txt
