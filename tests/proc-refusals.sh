#!/usr/bin/env bash
# Guards against a request that is reported as not run, is sent again by its
# caller and so runs twice. The load is three times the capacity, so that the
# daemons reject; one replica crashes and one is frozen meanwhile, and deadlines
# are short. No request reported as not run may be among those that the replicas
# executed, and every rejection must come at once with a Retry-After time.
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
expect_complete_answers "$OUT/load.json"
for i in 1 2 3; do truth "$(engine_addr "$i")" >"$OUT/engine-$i.json"; done
expect "requests reported as not run did not run" fake_check not-run "$OUT"/router-*.events -- "$OUT"/engine-*.json
refused=$(get "$OUT/load.json" total.refused)
expect "there were refusals: $refused" [ "$refused" -ge 20 ]
expect "each had a Retry-After time" [ "$(get "$OUT/load.json" refusals.without_retry_after)" = 0 ]
echo "  done $(get "$OUT/load.json" total.done), unknown $(get "$OUT/load.json" total.unknown), slowest refusal $(get "$OUT/load.json" refusals.slowest_ms) ms"
finish
