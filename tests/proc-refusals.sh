#!/usr/bin/env bash
# A moderator is told "not run", orders again, and the request ran twice.
# Load three times above capacity makes the daemons refuse, replicas are
# killed and brought back meanwhile, deadlines are short. Whatever was told
# not run must be absent from what the replicas executed, and every refusal
# must come at once and say when to come back.
. "$(dirname "$0")/proc-lib.sh"
start_store && start_service && start_engines 3 --prefill-rate 8000 --slots 16 && start_daemons 4 &&
    declare_all 3 moderation && wait_generation 4 || exit 1
load -o "targets=$(targets 4)" -o rate=150 -o seconds=6 -o deadline_ms=1500 -o resumes_max=0 -w "$OUT/load.json" &
LOAD=$!
sleep 2
control "$(engine_addr 1)" '{"crash_empty":true}'
sleep 1
kill -STOP "${PIDS[engine-2]}"
sleep 1
kill -CONT "${PIDS[engine-2]}"
wait $LOAD
whole_and_right "$OUT/load.json"
for i in 1 2 3; do truth "$(engine_addr "$i")" >"$OUT/engine-$i.json"; done
expect "what was told not run did not run" check not-run "$OUT"/router-*.events -- "$OUT"/engine-*.json
refused=$(get "$OUT/load.json" total.refused)
expect "there were refusals: $refused" [ "$refused" -ge 20 ]
expect "each said when to come back" [ "$(get "$OUT/load.json" refusals.without_retry_after)" = 0 ]
echo "  done $(get "$OUT/load.json" total.done), unknown $(get "$OUT/load.json" total.unknown), slowest refusal $(get "$OUT/load.json" refusals.slowest_ms) ms"
finish
