#!/usr/bin/env bash
# Guards against answers from older weights after newer ones are in force, and
# against weights that go back, because an older issuer's order arrives late. A
# rollout runs under load over replicas that honour fencing and one that does not,
# while one host is frozen and another killed. All replicas must end with the
# configured weights.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 6 4 || exit 1
ctl set backend engine-6 honours_fencing=false >/dev/null
control "$(engine_addr 6)" '{"honours_fencing":false}'
load -o "targets=$(targets 4)" -o rate=50 -o seconds=9 -o versions=v1,v2,v3 -w "$OUT/load.json" &
LOAD=$!
sleep 1
kill -STOP "${PIDS[router-2]}"
ctl rollout moderation v2 >/dev/null
sleep 1
ctl rollout moderation v3 >/dev/null
sleep 0.5
kill -CONT "${PIDS[router-2]}"
stop router-3 KILL
wait $LOAD
expect_complete_answers "$OUT/load.json"
expect "all requests are done" [ "$(get "$OUT/load.json" total.done)" = "$(get "$OUT/load.json" answered)" ]
for i in 1 2 3 4 5 6; do
    for ((n = 0; n < 100; n++)); do
        truth "$(engine_addr "$i")" >"$OUT/engine-$i.json"
        [ "$(get "$OUT/engine-$i.json" version)" = v3 ] && break
        sleep 0.1
    done
    orders=$(get "$OUT/engine-$i.json" orders)
    expect "engine-$i ends with v3 and never went back: $orders" sh -c "echo '$orders' | grep -qE '^\[(\"v2\",)?\"v3\"\]$'"
done
finish
