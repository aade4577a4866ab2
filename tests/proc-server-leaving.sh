#!/usr/bin/env bash
# Guards against new requests at a server whose answers say that it leaves.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
start_platform 2 2 && start_relays $HOSTS || exit 1
sleep 2.2 # a daemon makes no retries just after its start

# arrivals_since SERVER FROM_MS
arrivals_since() {
    grep "^arrival server=$1 " "$RECORD" | sed 's/.*at_ms=//' | awk -v from="$2" '$1 >= from' | wc -l
}

# Only host 1 hears of it; the platform's list says nothing.
post_admin server/p1 '{"leaving":true}'
for i in 1 2 3 4 5 6; do request_status 1 /read/x "${KEY1[@]}"; done >"$OUT/first"
expect "a leaving server's answer is passed on" [ "$(grep -c 200 "$OUT/first")" = 6 ]
sleep 2
begin=$(now_ms)
for ((i = 0; i < 10; i++)); do
    for ((host = 1; host <= HOSTS; host++)); do request_status $host /read/x "${KEY1[@]}"; done
done >"$OUT/later"
late=$(arrivals_since p1 "$begin")
expect "no host sends it a request 2 s later ($late)" [ "$late" = 0 ]
expect "the other server serves" [ "$(grep -c 200 "$OUT/later")" = $((HOSTS * 10)) ]

# The head of a stream says it too, and the stream goes on.
for e in e1 e2; do post_admin server/$e '{"events":60,"gap_ms":40}'; done
post_admin server/e1 '{"leaving":true}'
for i in 1 2 3 4 5 6; do
    send_request 2 /review/l$i "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: l$i:800,m$i:410,n$i:250" -d x >"$OUT/stream-$i" &
    sleep 0.1
done
sleep 2
begin=$(now_ms)
for ((host = 1; host <= HOSTS; host++)); do
    for i in 1 2 3 4; do
        send_request $host /review/k$host$i "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $host$i:800,a$host$i:410,b$host$i:250" -d x >/dev/null &
    done
done
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
expect "some streams ran at the leaving engine" grep -q '^run server=e1 uri=/review/l' "$RECORD"
expect "all streams are complete" [ "$(cat "$OUT"/stream-* | grep -c token-)" = 360 ]
late=$(arrivals_since e1 "$begin")
expect "no host sends the leaving engine a stream ($late)" [ "$late" = 0 ]
finish
