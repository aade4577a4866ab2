#!/usr/bin/env bash
# A backend server that is leaving still gets new requests. The platform's
# list lags, then the store goes down just behind the operator's order, and a
# host was frozen while the order was given. New work must end within
# seconds, and what runs there must end by itself.
. "$(dirname "$0")/proc-lib.sh"
deployment 6 4 || exit 1
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
whole_and_right "$OUT/load.json"
expect "nothing was cut" [ "$(get "$OUT/load.json" total.unknown)" = 0 ]
last=$(($(check last-sent engine-1 "$OUT"/router-*.events) - drained))
expect "last new request ${last} ms behind the drain order" [ "$last" -lt 3000 ]
last=$(($(check last-sent engine-2 "$OUT"/router-*.events) - listed))
expect "last new request ${last} ms behind the list's word" [ "$last" -lt 3000 ]
finish
