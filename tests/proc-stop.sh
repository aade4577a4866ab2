#!/usr/bin/env bash
# Guards against a graceful shutdown that cuts off answers. A daemon is stopped
# while long streams run; then the maintenance window of a data centre with a
# replica begins, and one is declared with less notice than the longest stream
# needs. Shutdown and window must cut off nothing, and the operator must be warned
# in advance of the short notice.
. "$(dirname "$0")/proc-lib.sh"
GRACE_MS=500
start_deployment 6 4 || exit 1
load -o "targets=$(targets 4)" -o rate=50 -o seconds=6 -o max_tokens=200 -o resumes_max=0 -w "$OUT/load.json" &
LOAD=$!
sleep 1.5
stop router-4
expect "a stopped daemon exits with 0" [ $? = 0 ]
wait $LOAD
expect_complete_answers "$OUT/load.json"
expect "no request was cut off" [ "$(get "$OUT/load.json" total.unknown)" = 0 ]

begin=$(($(now_ms) + 4000))
ctl set model moderation longest_s=2 >/dev/null
load -o "targets=$(targets 3)" -o rate=50 -o seconds=7 -o max_tokens=150 -o resumes_max=0 -w "$OUT/window.json" &
LOAD=$!
ctl declare window landlord kind=dc target=dc-b begin_ms="$begin" end_ms=$((begin + 60000)) >"$OUT/window.log"
expect "a window with enough notice gives no warning" grep -q 'warnings: \[\]' "$OUT/window.log"
sleep 2
expect "the data centre's daemon is not ready" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(daemon_addr 2)/readyz")" = 503 ]
expect "the others are ready" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(daemon_addr 1)/readyz")" = 200 ]
while [ "$(now_ms)" -lt "$begin" ]; do sleep 0.05; done
for i in 2 5; do truth "$(engine_addr "$i")" >"$OUT/engine-$i.json"; done
running=$(curl -s "http://$(engine_addr 2)/load" >"$OUT/l1.json"; get "$OUT/l1.json" running)
expect "nothing runs in the data centre when its window begins ($running)" [ "$running" = 0 ]
stop engine-2 KILL
stop engine-5 KILL
wait $LOAD
expect_complete_answers "$OUT/window.json"
expect "the window cut off nothing" [ "$(get "$OUT/window.json" total.unknown)" = 0 ]
ctl declare window rush kind=backend target=engine-1 begin_ms=$(($(now_ms) + 500)) end_ms=$(($(now_ms) + 9000)) >"$OUT/rush.log"
expect "a window with short notice gives a warning" grep -q 'notice is' "$OUT/rush.log"
finish
