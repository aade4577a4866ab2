#!/usr/bin/env bash
# Guards against two effects of one idempotency key, such as a sale billed twice.
# Each key is requested at three hosts at once while the service breaks
# connections before and after the effect, store answers are lost, the store is
# down, a host is frozen and one is killed. The failure comes from a second send;
# the claims in the store must allow only one.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 3 4 || exit 1
control "$SERVICE" '{"delay_ms":30}'
load -o "targets=$(targets 4)" -o rate=0 -o seconds=10 -o keyed_rate=25 -o key_repeats=3 -w "$OUT/load.json" &
LOAD=$!
sleep 1
control "$STORE" '{"lose_answers":15}'
sleep 1
control "$SERVICE" '{"cut_after":6,"cut_before":6}'
sleep 1
control "$STORE" '{"outage":true}'
sleep 1
control "$STORE" '{"outage":false}'
sleep 1
kill -STOP "${PIDS[router-3]}"
sleep 1.5
kill -CONT "${PIDS[router-3]}"
sleep 1
stop router-2 KILL
wait $LOAD
truth "$SERVICE" >"$OUT/effects.json"
expect "at most one effect per key, and each answer says what happened" fake_check keys "$OUT/load.json" "$OUT/effects.json"
ran=$(tr ',' '\n' <"$OUT/effects.json" | grep -c ':')
expect "most of 250 keys ran: $ran" [ "$ran" -ge 150 ]
truth "$STORE" >"$OUT/store.json"
echo "  store writes: $(get "$OUT/store.json" writes), peak $(get "$OUT/store.json" writes_peak) per second"
expect "the platform's limit of store writes is respected" [ "$(get "$OUT/store.json" writes_peak)" -le 300 ]
finish
