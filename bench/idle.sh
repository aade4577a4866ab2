#!/usr/bin/env bash
# Measures the control overhead of a daemon without callers and then under load:
# processor time, memory, peer traffic and store calls per second. Four daemons,
# nine replicas.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/idle}
rm -rf "$OUT"
. bench/lib.sh
LOG_LEVEL=warn
trap stop_all EXIT
HZ=$(getconf CLK_TCK)
start_store && start_engines 9 && start_daemons 4 && declare_all 9 moderation && wait_generation 4 || exit 1
sleep 1
metric() { curl -s "http://$(daemon_addr 1)/metrics" | awk -v k="celeryspool_$1" '$1==k{printf "%d", $2}'; }
sample() { echo "$(awk '{print $14+$15}' "/proc/${PIDS[router-1]}/stat") $(metric peer_bytes_sent) $(metric peer_bytes_received) $(metric store_calls)"; }
report() {
    local before after
    before=($(sample))
    sleep 8
    after=($(sample))
    echo "$1: $(awk -v t=$((after[0] - before[0])) -v hz="$HZ" 'BEGIN{printf "%.2f", t * 100 / hz / 8}') % of a core, $(((after[1] - before[1]) / 8)) B/s sent, $(((after[2] - before[2]) / 8)) B/s received, $(awk -v n=$((after[3] - before[3])) 'BEGIN{printf "%.1f", n / 8}') store calls/s, memory $(awk '/VmRSS/{print $2}' "/proc/${PIDS[router-1]}/status") KiB"
}
report idle
load -o "targets=$(targets 4)" -o rate=100 -o seconds=11 -w "$OUT/load.json" &
sleep 2
report "100 chats/s over four daemons"
wait $!
