#!/usr/bin/env bash
# Servers refuse, fail, hang, break off and leave while callers wait. What may
# run again goes elsewhere; what may have run once is neither repeated nor
# called "not run"; a stream goes on at another server without gap or repeat; a
# stop cuts nothing; a daemon without a configuration says so.
. "$(dirname "$0")/relay-lib.sh"
start_platform 3 2 && start_relays 2 || exit 1
sleep 2.2 # a daemon that has just started spends no retries

admin server/p1 '{"mode":"shed"}'
for i in 1 2 3 4 5 6; do status_of 1 /strike/s "${KEY1[@]}" -d x; done >"$OUT/shed"
expect "a refusal that proves that nothing ran goes elsewhere" [ "$(grep -c 200 "$OUT/shed")" = 6 ]
admin server/p2 '{"mode":"shed"}'
expect "where all refuse, the caller is told when to come back" [ "$(ask 1 /strike/s "${KEY1[@]}" -d x -D "$OUT/heads" | tail -1)" = 503 ]
expect "with a time" grep -qi '^Retry-After: [0-9]' "$OUT/heads"

admin server/p1 '{"mode":"error"}'
admin server/p2 '{"mode":"well"}'
for i in 1 2 3 4 5 6; do status_of 1 /read/e "${KEY1[@]}"; done >"$OUT/errors"
expect "an idempotent request that failed runs elsewhere" [ "$(grep -c 200 "$OUT/errors")" = 6 ]
admin server/p1 '{"mode":"reset"}'
admin server/p2 '{"mode":"reset"}'
sleep 0.3
ID=once ask 1 /strike/r "${KEY1[@]}" -d x | tail -1 >"$OUT/once"
expect "what may have run is not called not run" grep -qE '^50[24]$' "$OUT/once"
expect "and ran once" [ "$(runs_of once)" = 1 ]
admin server/p1 '{"mode":"well"}'
admin server/p2 '{"mode":"well"}'
sleep 1

for e in e1 e2 e3; do admin server/$e '{"events":40,"gap_ms":20}'; done
# A stream may run at two servers, so one of three breaks off.
admin server/e1 '{"mode":"cut"}'
for i in 1 2 3 4 5 6; do ask 1 /review/c$i "${KEY1[@]}" "${LLM[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: c$i:800,d$i:410,e$i:250" -d x >"$OUT/cut-$i" & done
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
seq 1 40 | sed 's/^/token-/' >"$OUT/wanted"
whole=0
for i in 1 2 3 4 5 6; do grep -o 'token-[0-9]*' "$OUT/cut-$i" | cmp -s - "$OUT/wanted" && whole=$((whole + 1)); done
expect "some were broken off" grep -q 'send-failed.*server=e1 fate=may-have-run' "$OUT/relay-1.log"
expect "streams go on elsewhere, without gap or repeat" [ $whole = 6 ]
admin server/e1 '{"mode":"well"}'

# A server falls silent, like a host without power behind open connections. A
# stream may run at two servers, so one of the three is silent: with two, a
# stream that meets both has no attempt left.
admin server/e1 '{"mode":"silent"}'
begin=$(now_ms)
for i in 1 2 3 4 5 6; do ask 2 /review/s$i "${KEY1[@]}" "${LLM[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: p$i:800,q$i:410,r$i:250" -d x | tail -1 >"$OUT/silent-$i" & done
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
took=$(($(now_ms) - begin))
expect "some met the silent server" grep -q 'event=silent server=e1' "$OUT/relay-2.log"
expect "streams leave a silent server" [ "$(cat "$OUT"/silent-* | grep -c 200)" = 6 ]
expect "within seconds ($took ms)" [ $took -lt 4000 ]
admin server/e1 '{"mode":"well"}'
sleep 1

# A server leaves: it gets no new request once its entry says so.
admin server/p1 '{"draining":true}'
sleep 1
: >"$RECORD"
for i in 1 2 3 4 5 6; do status_of 1 /read/d "${KEY1[@]}"; done >"$OUT/drain"
expect "a leaving server gets no new request" [ "$(grep -c 'server=p1' "$RECORD")" = 0 ]
expect "the others serve" [ "$(grep -c 200 "$OUT/drain")" = 6 ]

# A stop: not ready at once, what runs is finished, the process ends.
ask 1 /review/stop "${KEY1[@]}" "${LLM[@]}" -d x >"$OUT/stop" &
sleep 0.2
kill -TERM "${PIDS[relay-1]}"
sleep 0.1
expect "a stopping daemon is not ready" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(ready 1)/readiness")" = 503 ]
expect "it still serves while the balancer leaves" [ "$(status_of 1 /read/late "${KEY1[@]}")" = 200 ]
wait "${PIDS[relay-1]}"
expect "it ends by itself, in order" [ $? = 0 ]
expect "what ran was finished" [ "$(grep -c token- "$OUT/stop")" = 40 ]

# A daemon that starts while the store is away, and that nobody knows yet, has
# no configuration; those that run go on.
admin store '{"down":true}'
start_relay 3
sleep 0.7
expect "no configuration: not ready" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(ready 3)/readiness")" = 503 ]
expect "no configuration: come back, not unknown" [ "$(status_of 3 /read/x "${KEY1[@]}")" = 503 ]
expect "others go on with what they have" [ "$(status_of 2 /read/x "${KEY1[@]}")" = 200 ]
admin store '{"down":false}'
expect "ready once the store is back" wait_for "http://$(ready 3)/readiness"
admin store '{"silent":true}'
kill -KILL "${PIDS[relay-3]}"
wait "${PIDS[relay-3]}" 2>/dev/null
relay_settings 1 >"$OUT/relay-1.ini"
sed -i "s/^\[platform\]/[peers]\nseeds = $(inner 2)\n[platform]/" "$OUT/relay-1.ini"
run relay-1 "$BUILD/celeryspoold" --settings "$OUT/relay-1.ini"
expect "a daemon that starts beside one that runs needs no store" wait_for "http://$(ready 1)/readiness"
expect "and serves" [ "$(status_of 1 /read/x "${KEY1[@]}")" = 200 ]
admin store '{"silent":false}'
finish
