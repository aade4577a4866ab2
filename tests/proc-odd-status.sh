#!/usr/bin/env bash
# Guards against answers whose status is none: callers that get them, or that are
# held until their time is over because they are taken for interim answers.
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="status-000 status-007 status-099 status-0200 status-20 status-minus status-2x0 status-none status-999 status-1000"
AT_ONCE_MS=1000
GARBAGE_ATTEMPTS=2
start_platform 1 1 && start_relays 2 || exit 1
garbage_routes $KINDS both >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
n=40
for kind in $KINDS; do start_bad_server $((n++)) "$kind"; done
for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$((n - 1)) " 3; done
sleep 2.2 # a daemon makes no retries just after its start

for kind in $KINDS; do
    CALLS=()
    for route in read strike stream; do
        for i in 1 2; do
            timed_call "$OUT/$kind-$route-$i" $i "/$route-$kind/x" -d "body" &
            CALLS+=($!)
        done
    done
    wait "${CALLS[@]}"
    expect_failures "$kind" "$OUT/$kind"-{read,strike,stream}-[12]
    expect_true_rejections "$kind" "$OUT/$kind"-strike-[12]
done

# A sound server beside a broken one; the same in answers to health checks.
start_bad_server 60 status-000 --probes
post_admin object/servers/g-60 "{\"service\":\"desk\",\"address\":\"$(server_addr 60)\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":2,\"born\":1000}"
for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-60 service=desk" 3; done
CALLS=()
for ((n = 1; n <= 40; n++)); do
    timed_call "$OUT/beside-$n" $((n % 2 + 1)) /read/x &
    CALLS+=($!)
    sleep 0.05
done
wait "${CALLS[@]}"
served=$(grep -l '^200 0 ' "$OUT"/beside-* | wc -l)
expect "beside a sound server: $served of 40 are served" [ "$served" -ge 36 ]
expect "whole" [ "$(cat "$OUT"/beside-*.body | grep -c '^answer of p1')" = "$served" ]
finish
