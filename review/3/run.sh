#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/case-3 ] || { echo "run review/build.sh first"; exit 2; }
exec timeout --signal=TERM --kill-after=2 115 ../../target/review/case-3
