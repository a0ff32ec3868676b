#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
ROOT=$(cd ../.. && pwd)
RECORD=$PWD/record.txt
export ROOT RECORD
[ -x "$ROOT/target/review/case1" ] && [ -x "$ROOT/target/release/stackgw" ] || { echo "not built" >&2; exit 2; }
"$ROOT/target/review/case1"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
