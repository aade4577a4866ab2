#!/usr/bin/env bash
# Measures the overhead of the router against the same load sent directly to the
# fake engines in the same run: time to first token, tokens per second per core of
# the daemon, and memory per stream. One daemon, four replicas, short prompts.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/overhead}
rm -rf "$OUT"
. bench/lib.sh
LOG_LEVEL=warn
trap stop_all EXIT
HZ=$(getconf CLK_TCK)
cpu() { awk '{print $14 + $15}' "/proc/${PIDS[router-1]}/stat"; }
rss() { awk '/VmRSS/{print $2}' "/proc/${PIDS[router-1]}/status"; }
SHORT_PROMPTS="-o tokens_rules=16 -o tokens_guidance=16 -o tokens_thread=16 -o tokens_comment=16 -o warm_s=1"
engines=
for ((i = 1; i <= 4; i++)); do engines="$engines,$(engine_addr "$i")"; done
start_store && start_engines 4 --step-ms 1 --prefill-rate 1000000 --slots 4000 && start_daemons 1 &&
    declare_all 4 moderation && wait_generation 1 || exit 1

# compare NAME OPTIONS…: runs the load directly and routed, alternating, twice each
compare() {
    local name=$1 n
    shift
    for n in 1 2; do
        load $SHORT_PROMPTS -o "targets=${engines#,}" -o direct=true "$@" -w "$OUT/$name-straight-$n.json"
        load $SHORT_PROMPTS -o "targets=$(targets 1)" "$@" -w "$OUT/$name-routed-$n.json"
    done
    for q in p50 p99; do
        for n in 1 2; do
            a=$(get "$OUT/$name-straight-$n.json" "total.ttft_${q}_ms")
            b=$(get "$OUT/$name-routed-$n.json" "total.ttft_${q}_ms")
            awk -v n="$name" -v q=$q -v a="$a" -v b="$b" 'BEGIN{printf "%s %s: direct %.3f ms, routed %.3f ms, added %.3f ms, ratio %.2f\n", n, q, a, b, b - a, b / a}'
        done
    done
}
compare quiet -o rate=50 -o seconds=5 -o max_tokens=20

control_all() { for ((i = 1; i <= 4; i++)); do control "$(engine_addr "$i")" "$1"; done; }
control_all '{"step_ms":20}'
echo "-- 500 concurrent streams, one token every 20 ms each"
cpu_before=$(cpu)
compare streams -o rate=250 -o seconds=7 -o max_tokens=100
cpu_after=$(cpu)
answered=$(($(get "$OUT/streams-routed-1.json" answered) + $(get "$OUT/streams-routed-2.json" answered)))
awk -v c=$((cpu_after - cpu_before)) -v hz="$HZ" -v t=$((answered * 100)) 'BEGIN{printf "relayed %d tokens in %.2f s of processor time: %.0f tokens per second and core\n", t, c / hz, t * hz / c}'

echo "-- 2000 concurrent streams"
control_all '{"step_ms":100}'
rss_idle=$(rss)
load $SHORT_PROMPTS -o "targets=$(targets 1)" -o rate=700 -o seconds=3 -o max_tokens=60 -o deadline_ms=60000 -w "$OUT/many.json" &
load_pid=$!
streams_peak=0
rss_peak=0
while kill -0 $load_pid 2>/dev/null; do
    streams=$(curl -s "http://$(daemon_addr 1)/metrics" | awk '$1=="celeryspool_calls_running"{print $2}')
    [ "${streams:-0}" -gt "$streams_peak" ] && streams_peak=$streams
    rss_now=$(rss)
    [ "$rss_now" -gt "$rss_peak" ] && rss_peak=$rss_now
    sleep 0.1
done
wait $load_pid
echo "concurrent streams: $streams_peak; done $(get "$OUT/many.json" total.done), wrong $(get "$OUT/many.json" total.wrong); memory idle $rss_idle KiB, with streams $rss_peak KiB, $(((rss_peak - rss_idle) * 1024 / streams_peak)) bytes per stream"
