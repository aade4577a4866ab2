#!/usr/bin/env bash
# Guards against forwarded streams that the other host takes from a silent server, though the first host has no retry left.
RETRY_SLACK=6
. "$(dirname "$0")/lost-lib.sh"
start_lost 3 4 2 || exit 1
for engine in e1 e2 e3; do engine $engine '{"events":4,"gap_ms":20}'; done
sleep 4 # hosts have settled
# The first host spends its retries, as it may.
for engine in e1 e2 e3; do engine $engine '{"mode":"shed"}'; done
for i in $(seq 1 6); do
    send_request 1 /review/spent "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: z$i:800,y$i:410,x$i:250" -d x >/dev/null &
    sleep 0.03
done
wait_streams
for engine in e1 e2 e3; do engine $engine '{"mode":"well","events":60,"gap_ms":50}'; done
cut_host 1 reset
for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
wait_streams
sleep 0.5
streams moved 6 /review/moved
sleep 0.4
hold_links hang 0 1
sleep 2
hold_links none 0 1
wait_streams
sleep 0.3
grep -h 'event=send-failed id=moved' "$OUT"/relay-?.log | sed 's/.*id=/id=/' | cut -c1-200 | head
expect "streams were forwarded" [ "$(grep -c 'event=forwarded id=moved' "$OUT/relay-1.log")" -ge 6 ]
expect_none_cut moved "none is cut that the other host could have left where it was"
finish
