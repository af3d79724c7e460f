#!/usr/bin/env bash
# Prints the results of the deterministic engines without run times, so that programs with equal behaviour print the same.
# Usage: scripts/behaviour.sh [PROGRAMS] >FILE, then diff two such files; PROGRAMS is a folder, by default target/release.
# If LBSIM and SITE are set, also prints the quick score of the operators' simulated bench, run from this checkout.
set -uo pipefail
if [ $# -gt 1 ]; then
    sed -n '2,4s/^# //p' "$0" >&2
    exit 2
fi
programs=${1:-target/release}
verify="$programs/ochrelead-verify"
failed=0

run() {
    echo "== $1 ${*:3}"
    if ! "$2" "${@:3}" 2>/dev/null | sed -E 's/, [0-9.]+ s\b//g; s/; [0-9]+ seeds a minute and core.*//'; then
        echo "== failed"
        failed=1
    fi
}

run sim "$programs/ochrelead-sim" explore --seeds 0..300
run verify "$verify" explore --depth 9
run verify "$verify" seeds 0..100
run verify "$verify" districts 5020..5024
if [ -n "${LBSIM:-}" ]; then
    echo "== lbsim $(basename "${SITE:?a site file}")"
    "$LBSIM" score "$SITE" --quick --why "${WHY:-Compares behaviour before and after a change of names}" 2>/dev/null |
        sed -E '/^snapshot/d; s/, [+-][0-9.]+ against snapshot [0-9a-f]+//; s/ \([+-][0-9.]+\)//g' || failed=1
fi
exit $failed
