#!/usr/bin/env bash
# Runs small fleet scenarios of the operators' bench one after another, and prints one line per run:
#   scenario  seed  G of its maximum  share served  verdict  lost  late  longest time until ready
# Usage: BENCH=path/to/lbreal scripts/plays.sh SITE "KIND ..." "SEED ..." [more options of the bench]
# Fails if a run has no result, breaks a rule or reports a fault; the output of each run is kept in $OUT (target/plays).
set -uo pipefail
if [ $# -lt 3 ] || [ ! -x "${BENCH:-}" ]; then
    sed -n '2,6s/^# //p' "$0" >&2
    exit 2
fi
site=$1 kinds=$2 seeds=$3
shift 3
out=${OUT:-target/plays}
mkdir -p "$out"
failed=0
for kind in $kinds; do
    for seed in $seeds; do
        log="$out/$(basename "$site" .toml)-$kind-$seed.txt"
        json="${log%.txt}.json"
        rm -f "$json"
        timeout "${LIMIT:-300}" "$BENCH" "$site" --rough "$kind" --nodes "${NODES:-30}" --seed "$seed" \
            --no-build --json "$json" --why "${WHY:-A small day as a look}" "$@" >"$log" 2>&1
        code=$?
        if ! python3 "$(dirname "$0")/play_line.py" "$kind" "$seed" "$code" "$json" "$log"; then
            failed=1
        fi
    done
done
exit $failed
