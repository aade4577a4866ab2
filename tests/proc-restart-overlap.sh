#!/usr/bin/env bash
# Guards against hosts that never serve again because they were started again
# while their former processes were still leaving.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
start_platform 3 2 && start_relays $HOSTS || exit 1
for e in e1 e2 e3; do post_admin server/$e '{"events":50,"gap_ms":100}'; done

# Streams keep the former processes until the end of their grace.
for i in 1 2 3; do
    send_request "$i" "/review/$i" "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x >"$OUT/stream-$i" &
done
sleep 0.5
former=()
for i in 1 2 3; do
    former+=("${PIDS[relay-$i]}")
    kill -TERM "${PIDS[relay-$i]}"
    cp "$OUT/relay-$i.log" "$OUT/former-$i.log"
    start_relay "$i"
done
begun=$(now_ms)
sleep 1
for i in 1 2 3; do
    expect "host $i waits for its address" kill -0 "${PIDS[relay-$i]}"
    expect "its former process still serves" kill -0 "${former[$((i - 1))]}"
done
for i in 1 2 3; do
    expect "host $i serves again" wait_for "http://$(ready_addr "$i")/readiness"
done
took=$(($(now_ms) - begun))
expect "within the grace and a second ($took ms)" [ $took -lt 9000 ]
for i in 1 2 3; do
    expect "host $i serves requests" [ "$(request_status "$i" /read/x "${KEY1[@]}")" = 200 ]
done
wait "${former[@]}" $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
for i in 1 2 3; do
    expect "stream $i ended complete" [ "$(grep -c token- "$OUT/stream-$i")" = 50 ]
done
finish
