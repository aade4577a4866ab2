#!/usr/bin/env bash
# A caller sees half a verdict that looks whole, or none. Replicas are killed,
# frozen and cut off in the middle of streams, and a daemon is killed, so that
# its callers come back at another with Last-Event-ID. The cause is that a
# stream's state dies with either end; every answer must still be whole.
. "$(dirname "$0")/proc-lib.sh"
deployment 9 4 || exit 1
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
whole_and_right "$OUT/load.json"
done=$(get "$OUT/load.json" total.done)
answered=$(get "$OUT/load.json" answered)
expect "all done: $done of $answered" [ "$done" = "$answered" ]
expect "streams were moved or resumed" [ "$(cat "$OUT"/*.events | grep -cE '"kind":"(moved|resumed)"')" -ge 5 ]
finish
