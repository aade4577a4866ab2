#!/usr/bin/env bash
# Guards against new requests to a backend server that is draining. The
# platform's list lags, the store fails right after the operator's drain order,
# and one host is frozen when the order is given. New requests must stop within
# seconds, and those in flight must complete.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 6 4 || exit 1
load -o "targets=$(targets 4)" -o rate=80 -o seconds=8 -o max_tokens=60 -o workspaces=4 -w "$OUT/load.json" &
LOAD=$!
sleep 2
kill -STOP "${PIDS[router-3]}"
ctl drain engine-1 >/dev/null
drained=$(now_ms)
control "$STORE" '{"outage":true}'
sleep 0.7
kill -CONT "${PIDS[router-3]}"
sleep 1.5
control "$STORE" '{"outage":false,"hosts":[{"name":"engine-2","state":"leaving"}]}'
listed=$(now_ms)
wait $LOAD
expect_complete_answers "$OUT/load.json"
expect "no request was cut off" [ "$(get "$OUT/load.json" total.unknown)" = 0 ]
last=$(($(fake_check last-sent engine-1 "$OUT"/router-*.events) - drained))
expect "last new request ${last} ms after the drain order" [ "$last" -lt 3000 ]
last=$(($(fake_check last-sent engine-2 "$OUT"/router-*.events) - listed))
expect "last new request ${last} ms after the change of the list" [ "$last" -lt 3000 ]
finish
