#!/usr/bin/env bash
# Guards against requests that fill an engine, and are preempted, before an unanswered load order is carried out there.
. "$(dirname "$0")/relay-lib.sh"
start_platform 2 2 && start_relays 1 || exit 1
sleep 2.2 # a daemon makes no retries just after its start

stream() { send_request 1 "/$1/$2" "${KEY2[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $2:800,s$2:410,t$2:250" -d x >"$OUT/$2" & }
# runs_since SERVER LINE: requests that a server has run since a line of the record
runs_since() { tail -n +"$2" "$RECORD" | grep -c "^run server=$1 "; }
lines() { wc -l <"$RECORD"; }

# A long answer runs at e1; e2 gets no order.
for e in e1 e2; do engine $e '{"events":100,"gap_ms":40}'; done
engine e2 '{"mode":"shed"}'
stream review long
expect "the long answer runs at e1" wait_record '^run server=e1 uri=/review/long ' 3
engine e1 '{"late_order_ms":2500}'
engine e2 '{"mode":"well","refuse_orders":true,"events":4}'
post_admin object/versions/m1 '{"model":"m1","version":2}'
begin=$(($(lines) + 1))
sleep 1.1 # e1 has drained for half a second, and its order is under way
for ((i = 0; i < 30; i++)); do
    stream flag "f$i"
    sleep 0.06
done
expect "the order is carried out late" wait_record '^order server=e1 status=202 ' 4
engine e1 '{"late_order_ms":0}'
ran=$(tail -n +$begin "$RECORD" | sed '/^order server=e1 status=202/,$d' | grep -c '^run server=e1 ')
expect "no request goes to e1 until the order is carried out ($ran)" [ "$ran" = 0 ]
expect "e2 runs them" [ "$(runs_since e2 $begin)" -ge 20 ]
expect "e1 loads version 2" wait_record '^loaded server=e1 version=2' 3
engine e2 '{"refuse_orders":false}'
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
expect "the long answer is complete" [ "$(grep -c token- "$OUT/long")" = 100 ]
expect "e2 loads version 2" wait_record '^loaded server=e2 version=2' 15
finish
