#!/usr/bin/env bash
# Guards against slow first tokens after a restart of daemons, because a new
# daemon does not know where prefixes are cached. One daemon is replaced, then all
# four at once with the store up, then one with the store down. The cache hit rate
# in the first seconds after each must be close to the rate before.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 9 4 || exit 1
sums() { # tokens cached and tokens prefilled of all engines so far
    local i hit=0 miss=0
    for ((i = 1; i <= 9; i++)); do
        truth "$(engine_addr "$i")" >"$OUT/e.json"
        hit=$((hit + $(get "$OUT/e.json" tokens_cached)))
        miss=$((miss + $(get "$OUT/e.json" tokens_prefilled)))
    done
    echo "$hit $miss"
}
# measure NAME: prints the hit rate during two seconds of load, in thousandths
measure() {
    local a b
    a=($(sums))
    load -o "targets=$(targets 4)" -o rate=80 -o seconds=2 -o thread_life_s=0 -w "$OUT/$1.json"
    b=($(sums))
    echo $(((b[0] - a[0]) * 1000 / (b[0] - a[0] + b[1] - a[1])))
}
load -o "targets=$(targets 4)" -o rate=80 -o seconds=4 -o thread_life_s=0 -w "$OUT/warm.json"
before=$(measure before)
restart() {
    local i
    for i in "$@"; do stop "router-$i" KILL; done
    for i in "$@"; do start_daemon "$i" 4; done
    for i in "$@"; do wait_for "http://$(daemon_addr "$i")/readyz" || return 1; done
}
restart 2
one=$(measure one)
sleep 5.5 # a snapshot is stored every five seconds
restart 1 2 3 4
all=$(measure all)
expect "hits after one restart: $one of $before thousandths before" [ "$one" -ge $((before * 95 / 100)) ]
expect "hits after all restarted: $all of $before thousandths before" [ "$all" -ge $((before * 95 / 100)) ]
expect_complete_answers "$OUT/all.json"
control "$STORE" '{"outage":true}'
restart 1
down=$(measure down)
expect "hits after a restart during an outage: $down of $before thousandths" [ "$down" -ge $((before * 95 / 100)) ]
echo "  p99 time to first token: before $(get "$OUT/before.json" total.ttft_p99_ms), one $(get "$OUT/one.json" total.ttft_p99_ms), all $(get "$OUT/all.json" total.ttft_p99_ms), store down $(get "$OUT/down.json" total.ttft_p99_ms) ms"
finish
