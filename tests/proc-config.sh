#!/usr/bin/env bash
# Guards against a configuration change that is reverted or reaches only some
# hosts, because of stale reads of the store or lost answers of writes. Operators
# race at four hosts, the store loses answers, a host is frozen during changes,
# and one restarts during an outage of the store. Generations must only increase
# and reach all hosts within seconds.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 3 4 || exit 1
before=$(generation 1)
control "$STORE" '{"lose_answers":4}'
for i in 1 2 3 4; do
    (
        CTL=$(daemon_addr "$i")
        for n in 1 2 3 4 5; do ctl set workspace "ws-$i" share="$((i * 10 + n))" || echo refused; done
    ) >"$OUT/race-$i.log" 2>&1 &
    racers+=($!)
done
wait "${racers[@]}"
accepted=$(cat "$OUT"/race-*.log | grep -c 'accepted: true')
refused=$(cat "$OUT"/race-*.log | grep -c '^refused')
expect "20 racing changes: $accepted accepted, $refused refused" [ "$((accepted + refused))" = 20 ]
wait_generation 4
now=$(generation 1)
expect "one generation for each accepted change ($before to $now)" [ "$((now - before))" = "$accepted" ]

expect "a change based on an old generation is refused" sh -c "! '$BUILD/celeryspoolctl' -a $(daemon_addr 2) -g $before set workspace ws-0 share=9 2>$OUT/conflict.log"
expect "and the refusal names the generation in force" grep -q "generation in force: $now" "$OUT/conflict.log"

kill -STOP "${PIDS[router-4]}"
ctl set workspace ws-0 share=5 >/dev/null
sleep 1
kill -CONT "${PIDS[router-4]}"
start=$(now_ms)
wait_generation 4
expect "a frozen host has the change $(($(now_ms) - start)) ms after SIGCONT" [ "$(($(now_ms) - start))" -lt 3000 ]

start=$(now_ms)
ctl set workspace ws-0 share=6 >/dev/null
wait_generation 4
took=$(($(now_ms) - start))
expect "in force on all hosts after $took ms" [ "$took" -lt 3000 ]

control "$STORE" '{"outage":true}'
stop router-3 KILL
start_daemon 3 4
wait_for "http://$(daemon_addr 3)/readyz"
expect "a host restarted during an outage has the newest generation" [ "$(generation 3)" = "$(generation 1)" ]
expect "a change during an outage is refused, not queued" sh -c "! timeout 10 '$BUILD/celeryspoolctl' -a $(daemon_addr 1) set workspace ws-0 share=7 2>$OUT/outage.log"
control "$STORE" '{"outage":false}'
stop_all
expect "generations only increase" fake_check generations "$OUT"/router-*.events
finish
