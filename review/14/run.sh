#!/usr/bin/env bash
# Plays the case with the daemons of the deploy file; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins ] || { echo "run review/build-3.sh first"; exit 2; }
exec target/review-3/standins key-passed-on review/14/record.txt
