#!/usr/bin/env bash
# Guards against answers with a broken head or broken chunks that reach callers as
# complete ones, whose body is not the server's.
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="coding-less coding-more coding-empty coding-list coding-twice coding-control coding-half coding-events"
KINDS+=" line-lf line-lf-length line-lf-chunked line-lf-last line-cr value-control value-delete value-folded length-folded"
KINDS+=" chunk-short chunk-cr chunk-size-cr chunk-size-two trailer-lf"
KINDS+=" length-short length-zero length-empty length-letter length-sign length-list length-twice length-name length-coded field-word field-json name-blank name-control"
AT_ONCE_MS=1000
GARBAGE_ATTEMPTS=2
start_platform 1 1 && start_relays 2 || exit 1
garbage_routes $KINDS both >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
n=60
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

# A sound server beside broken ones, whose health checks and reports are answered so too.
for kind in coding-less chunk-short; do
    start_bad_server $n "$kind" --probes
    post_admin "object/servers/g-$n" "{\"service\":\"desk\",\"address\":\"$(server_addr $n)\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":2,\"born\":1000}"
    for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$n service=desk" 3; done
    n=$((n + 1))
done
CALLS=()
for ((i = 1; i <= 40; i++)); do
    timed_call "$OUT/beside-$i" $((i % 2 + 1)) /read/x &
    CALLS+=($!)
    sleep 0.05
done
wait "${CALLS[@]}"
served=$(grep -l '^200 0 ' "$OUT"/beside-* | wc -l)
expect "beside a sound server: $served of 40 are served" [ "$served" -ge 30 ]
expect "whole" [ "$(cat "$OUT"/beside-*.body | grep -c '^answer of p1$')" = "$served" ]
finish
