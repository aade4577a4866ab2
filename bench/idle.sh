#!/usr/bin/env bash
# What control costs a daemon: processor time, memory, bytes to and from peers
# and calls to the store in a second, with no callers. Four daemons, nine
# replicas; then the same under a load.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/idle}
rm -rf "$OUT"
. bench/lib.sh
LOG_LEVEL=warn
trap stop_all EXIT
HZ=$(getconf CLK_TCK)
start_store && start_engines 9 && start_daemons 4 && declare_all 9 moderation && wait_generation 4 || exit 1
sleep 1
value() { curl -s "http://$(daemon_addr 1)/metrics" | awk -v k="celeryspool_$1" '$1==k{printf "%d", $2}'; }
sample() { echo "$(awk '{print $14+$15}' "/proc/${PIDS[router-1]}/stat") $(value peer_bytes_sent) $(value peer_bytes_received) $(value store_calls)"; }
report() {
    local a b
    a=($(sample))
    sleep 8
    b=($(sample))
    echo "$1: $(awk -v t=$((b[0] - a[0])) -v hz="$HZ" 'BEGIN{printf "%.2f", t * 100 / hz / 8}') % of a core, $(((b[1] - a[1]) / 8)) B/s sent, $(((b[2] - a[2]) / 8)) B/s received, $(awk -v n=$((b[3] - a[3])) 'BEGIN{printf "%.1f", n / 8}') store calls/s, memory $(awk '/VmRSS/{print $2}' "/proc/${PIDS[router-1]}/status") KiB"
}
report idle
load -o "targets=$(targets 4)" -o rate=100 -o seconds=11 -w "$OUT/load.json" &
sleep 2
report "100 chats/s over the four"
wait $!
