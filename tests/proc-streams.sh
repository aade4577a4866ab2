#!/usr/bin/env bash
# Guards against a partial answer that looks complete, and against lost answers,
# because the state of a stream is lost with the replica or the daemon. Replicas
# are killed, frozen and silenced in the middle of streams, and a daemon is killed,
# so that its callers resume at another with Last-Event-ID. Every answer must be
# complete.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 9 4 || exit 1
load -o "targets=$(targets 4)" -o rate=60 -o seconds=9 -o max_tokens=80 -w "$OUT/load.json" &
LOAD=$!
sleep 1.5
stop engine-1 KILL
sleep 1
control "$(engine_addr 2)" '{"silence_streams":true}'
sleep 1
kill -STOP "${PIDS[engine-3]}"
sleep 2
kill -CONT "${PIDS[engine-3]}"
sleep 1
stop router-2 KILL
wait $LOAD
expect_complete_answers "$OUT/load.json"
done=$(get "$OUT/load.json" total.done)
answered=$(get "$OUT/load.json" answered)
expect "all requests are done: $done of $answered" [ "$done" = "$answered" ]
expect "streams were moved or resumed" [ "$(cat "$OUT"/*.events | grep -cE '"kind":"(moved|resumed)"')" -ge 5 ]
finish
