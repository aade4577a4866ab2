#!/usr/bin/env bash
# Guards against repeats that fail because all kept connections are busy while only these reach the servers.
. "$(dirname "$0")/host-cut-lib.sh"
HOSTS=1
start_platform 2 4 && start_relays 1 || exit 1
sleep 7
# read_load NAME CALLERS COUNT RATE: reads on connections of their own, at most RATE a second on each
read_load() {
    local c calls=()
    for ((c = 1; c <= $2; c++)); do
        reads 1 "$1-$c" "$3" 30 | curl -s --rate "$4/s" -K - 2>&1 | grep -E '^[0-9]{3}' >"$OUT/$1-$c" &
        calls+=($!)
    done
    wait "${calls[@]}"
    echo "    $1: $(cat "$OUT/$1"-* | sort | uniq -c | tr '\n' ' ')"
}
for p in 1 2 3 4; do engine p$p '{"work_ms":60}'; done
read_load before 6 16 8
links_listen false
# Twice as many callers as connections: some need new ones, which shows that the host is cut off.
read_load warm 12 40 8
expect "only kept connections reach the servers" [ "$(grep 'event=reach' "$OUT/relay-1.log" | tail -1 | sed 's/.* state=\([a-z]*\).*/\1/')" = kept ]
# More callers than connections, and each request takes 200 of its 800 ms: all connections are busy.
for p in 1 2 3 4; do engine p$p '{"work_ms":200}'; done
read_load busy 12 60 20 &
load_pid=$!
for round in 1 2; do
    for p in 1 2 3 4; do
        engine p$p '{"mode":"error"}'
        sleep 0.2
        engine p$p '{"mode":"well"}'
        sleep 0.2
    done
done
wait $load_pid
links_listen true
again=$(grep 'event=send-failed id=busy' "$OUT/relay-1.log" | grep -c 'fate=failed.*verdict=again')
failed=$(cat "$OUT"/busy-* | grep -c '^502')
expect "servers failed requests that were repeated ($again)" [ "$again" -ge 5 ]
expect "none of these fails, since kept connections become free ($failed of $again)" [ "$failed" = 0 ]
expect "callers are served ($(served "$OUT"/busy-*) of $(tried "$OUT"/busy-*))" [ "$(served "$OUT"/busy-*)" -ge 60 ]
finish
