#!/bin/sh
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
export ROOT
[ -x "$ROOT/target/review-2/case-10" ] || { echo "run review/build-2.sh first"; exit 2; }
exec "$ROOT/target/review-2/case-10" "$PWD/record.txt"
