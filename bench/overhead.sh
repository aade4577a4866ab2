#!/usr/bin/env bash
# What the router adds, as ratios in one run against the same load sent
# straight to the stand-in: time to first token, tokens a second for each core
# of the daemon, memory a stream. One daemon, four replicas, short prompts.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/overhead}
rm -rf "$OUT"
. bench/lib.sh
LOG_LEVEL=warn
trap stop_all EXIT
HZ=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/${PIDS[router-1]}/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/${PIDS[router-1]}/status"; }
SHORT="-o tokens_rules=16 -o tokens_guidance=16 -o tokens_thread=16 -o tokens_comment=16 -o warm_s=1"
engines=
for ((i = 1; i <= 4; i++)); do engines="$engines,$(engine_addr "$i")"; done
start_store && start_engines 4 --step-ms 1 --prefill-rate 1000000 --slots 4000 && start_daemons 1 &&
    declare_all 4 moderation && wait_generation 1 || exit 1

# compare NAME OPTIONS…: straight and routed, twice in turn
compare() {
    local name=$1 n
    shift
    for n in 1 2; do
        load $SHORT -o "targets=${engines#,}" -o direct=true "$@" -w "$OUT/$name-straight-$n.json"
        load $SHORT -o "targets=$(targets 1)" "$@" -w "$OUT/$name-routed-$n.json"
    done
    for q in p50 p99; do
        for n in 1 2; do
            a=$(get "$OUT/$name-straight-$n.json" "total.ttft_${q}_ms")
            b=$(get "$OUT/$name-routed-$n.json" "total.ttft_${q}_ms")
            awk -v n="$name" -v q=$q -v a="$a" -v b="$b" 'BEGIN{printf "%s %s: straight %.3f ms, routed %.3f ms, added %.3f ms, ratio %.2f\n", n, q, a, b, b - a, b / a}'
        done
    done
}
compare quiet -o rate=50 -o seconds=5 -o max_tokens=20

control_all() { for ((i = 1; i <= 4; i++)); do control "$(engine_addr "$i")" "$1"; done; }
control_all '{"step_ms":20}'
echo "-- 500 streams at once, a token each 20 ms"
c0=$(cpu)
compare streams -o rate=250 -o seconds=7 -o max_tokens=100
c1=$(cpu)
answered=$(($(get "$OUT/streams-routed-1.json" answered) + $(get "$OUT/streams-routed-2.json" answered)))
awk -v c=$((c1 - c0)) -v hz="$HZ" -v t=$((answered * 100)) 'BEGIN{printf "relayed %d tokens in %.2f s of processor time: %.0f tokens a second and core\n", t, c / hz, t * hz / c}'

echo "-- 2000 streams at once"
control_all '{"step_ms":100}'
idle=$(rss)
load $SHORT -o "targets=$(targets 1)" -o rate=700 -o seconds=3 -o max_tokens=60 -o deadline_ms=60000 -w "$OUT/many.json" &
LOAD=$!
most=0
peak=0
while kill -0 $LOAD 2>/dev/null; do
    now=$(curl -s "http://$(daemon_addr 1)/metrics" | awk '$1=="celeryspool_calls_running"{print $2}')
    [ "${now:-0}" -gt "$most" ] && most=$now
    r=$(rss)
    [ "$r" -gt "$peak" ] && peak=$r
    sleep 0.1
done
wait $LOAD
echo "streams held: $most; done $(get "$OUT/many.json" total.done), wrong $(get "$OUT/many.json" total.wrong); memory idle $idle KiB, with streams $peak KiB, $(((peak - idle) * 1024 / most)) bytes a stream"
