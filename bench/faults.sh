#!/usr/bin/env bash
# Injects faults under a steady load, each in a fresh deployment of nine replicas
# and four daemons. Prints the figures before, during and after the fault, and how
# long the 95th percentile of the time to first token takes to return to at most
# 110 % of its earlier value plus 20 ms.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/faults}
rm -rf "$OUT"
. bench/lib.sh
LOG_LEVEL=error
trap stop_all EXIT
LOAD_SECONDS=16
FAULT_AT_S=6

crash() { control "$(engine_addr 1)" '{"crash_empty":true}'; }
slow() { control "$(engine_addr 2)" '{"slow_factor":5}'; }
drop() { for i in {1..9}; do control "$(engine_addr "$i")" '{"event_drop_percent":10}'; done; }
lag() { for i in {1..9}; do control "$(engine_addr "$i")" '{"load_lag_ms":2000}'; done; }
platform() { control "$STORE" '{"outage":true}'; }
one_daemon() { stop router-2 KILL; start_daemon 2 4; }
all_daemons() { for i in {1..4}; do stop "router-$i" KILL; done; for i in {1..4}; do start_daemon "$i" 4; done; }
data_centre() { for i in 1 4 7; do stop "engine-$i" KILL; done; stop router-1 KILL; }

# row REPORT FROM TO: done, refused, unknown and the mean p95 of these seconds
row() {
    local s done=0 refused=0 unknown=0 p95=0 n=0 v
    for ((s = $2; s < $3; s++)); do
        done=$((done + $(get "$1" "by_second.$s.done")))
        refused=$((refused + $(get "$1" "by_second.$s.refused") + $(get "$1" "by_second.$s.not_run")))
        unknown=$((unknown + $(get "$1" "by_second.$s.unknown")))
        v=$(get "$1" "by_second.$s.ttft_p95_ms")
        p95=$(awk -v a="$p95" -v b="$v" 'BEGIN{print a + b}')
        n=$((n + 1))
    done
    echo "$done $refused $unknown $(awk -v a="$p95" -v n=$n 'BEGIN{printf "%.1f", a / n}')"
}

# recovery_s REPORT P95_BEFORE: seconds from the fault until p95 stays within the bound
recovery_s() {
    local s v bound
    bound=$(awk -v b="$2" 'BEGIN{print b * 1.1 + 20}')
    local recovered=$FAULT_AT_S
    for ((s = FAULT_AT_S; s < LOAD_SECONDS - 1; s++)); do
        v=$(get "$1" "by_second.$s.ttft_p95_ms")
        awk -v v="$v" -v b="$bound" 'BEGIN{exit !(v > b)}' && recovered=$((s + 1))
    done
    echo $((recovered - FAULT_AT_S))
}

printf '%-12s %-24s %-24s %-24s %s\n' fault "before (done ref unk p95)" "first 2 s" "after" "recovered in"
for fault in ${FAULTS:-crash slow drop lag platform one_daemon all_daemons data_centre}; do
    start_store && start_engines 9 --prefill-rate 20000 --blocks 4096 && start_daemons 4 &&
        declare_all 9 moderation && wait_generation 4 || exit 1
    report=$OUT/$fault.json
    load -f bench/blue-mahoe.ini -o rate=120 -o seconds=$LOAD_SECONDS -o warm_s=0 -o thread_life_s=0 -o "targets=$(targets 4)" -w "$report" &
    load_pid=$!
    sleep $FAULT_AT_S
    $fault
    wait $load_pid
    before=$(row "$report" 3 $FAULT_AT_S)
    printf '%-12s %-24s %-24s %-24s %s s, wrong %s\n' "$fault" "$before" "$(row "$report" $FAULT_AT_S $((FAULT_AT_S + 2)))" \
        "$(row "$report" $((LOAD_SECONDS - 4)) $((LOAD_SECONDS - 1)))" "$(recovery_s "$report" "${before##* }")" "$(get "$report" total.wrong)"
    stop_all
done
