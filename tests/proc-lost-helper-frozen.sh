#!/usr/bin/env bash
# Guards against forwarded requests that fail since they are taken from a host frozen for a second and a half, though no other can take them.
. "$(dirname "$0")/lost-lib.sh"
start_lost 2 1 2 || exit 1
cut_host 1 hang
for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
wait_streams
sleep 1
kill -STOP "${PIDS[relay-2]}"
streams frozen 6 /review/frozen
streams frozen-once 4 /flag/frozen
sleep 1.7
kill -CONT "${PIDS[relay-2]}"
wait_streams
sleep 0.3
print_ends frozen
print_ends frozen-once
expect "requests were forwarded" [ "$(grep -c 'event=forwarded id=frozen' "$OUT/relay-1.log")" -ge 10 ]
expect "those that may not be resumed wait for the other host and complete" [ "$(count_ends frozen-once complete)" = 4 ]
expect "those that may be resumed do so too" [ "$(count_ends frozen complete)" = 6 ]
finish
