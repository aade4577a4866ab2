#!/usr/bin/env bash
# Runs the tests with real processes, JOBS at a time on ports of their own, and
# counts the failures.
cd "$(dirname "$0")/.." || exit 1
JOBS=${JOBS:-4}
PORTS_PER_JOB=3000
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# run_script SLOT SCRIPT: runs one test; its verdict goes to $results
run_script() {
    local name verdict
    name=$(basename "$2" .sh)
    if BASE=$((${BASE:-0} + $1 * PORTS_PER_JOB)) timeout 180 bash "$2" >"$results/$name.out" 2>&1; then
        verdict=passed
    elif grep -qs "^$name:" KNOWN-RED.txt; then
        verdict=known
    else
        verdict=failed
    fi
    echo "$2"
    cat "$results/$name.out"
    [ $verdict != known ] || echo "  known failure (KNOWN-RED.txt)"
    [ $verdict = known ] || touch "$results/$name.$verdict"
}

# run_slot SLOT: runs the scripts that no other slot has taken
run_slot() {
    local script
    for script in ${TESTS:-tests/proc-*.sh}; do
        [ "$script" != tests/proc-lib.sh ] && mkdir "$results/$(basename "$script").taken" 2>/dev/null || continue
        run_script "$1" "$script" >"$results/slot-$1"
        cat "$results/slot-$1"
    done
}

for ((slot = 0; slot < JOBS; slot++)); do run_slot $slot & done
wait
passed=$(find "$results" -name '*.passed' | wc -l)
failed=$(find "$results" -name '*.failed' | wc -l)
echo "$passed passed, $failed failed"
[ "$failed" = 0 ]
