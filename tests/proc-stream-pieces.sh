#!/usr/bin/env bash
# Guards against streams with a missing or doubled event, or a complete end too early, beside slow readers and events of many sizes.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=2
EVENTS=40
RETRY_SLACK=4000
eval "$(declare -f relay_settings | sed '1s/relay_settings/base_settings/')"
relay_settings() { base_settings "$1"; echo "memory_mb = 16"; }
start_platform 4 1 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start
sizes=(40 1400 16500 70000)
for i in 1 2 3 4; do engine e$i "{\"events\":$EVENTS,\"gap_ms\":40,\"event_bytes\":${sizes[i - 1]}}"; done

# stream NAME HOST PATH [CURL OPTION…]: events and curl's exit status go to a file
stream() {
    local name=$1 host=$2 path=$3
    shift 3
    ID=$name DEADLINE_MS=8000 send_request "$host" "$path" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$name:250" -d x "$@" >"$OUT/stream-$name"
    echo "exit $?" >>"$OUT/stream-$name"
}
# Rates at which callers read, bytes per second.
rates=(20k 200k 1M 40M)
STREAMS=()
for round in 1 2 3 4 5 6; do
    for n in 1 2 3 4 5 6 7 8; do
        path=/review/x
        [ $((n % 4)) != 0 ] || path=/flag/x
        stream $round-$n $((n % HOSTS + 1)) $path --limit-rate "${rates[(n + round) % 4]}" &
        STREAMS+=($!)
    done
    sleep 0.3
    # Some streams break in the middle of an event.
    engine e$((round % 4 + 1)) '{"end_streams":0.4}'
    sleep 0.7
done
wait "${STREAMS[@]}"

whole=0 broken=0 wrong=0
for file in "$OUT"/stream-*; do
    ids=$(sed -n 's/^id: //p' "$file")
    count=$(grep -c . <<<"$ids")
    [ "$ids" = "$(seq 1 "$count")" ] || [ "$count" = 0 ] || { wrong=$((wrong + 1)); echo "  out of order: $file"; }
    # Each event is whole but the last one of a stream that breaks off.
    texts=$(grep -c '^data: token-[0-9]' "$file")
    [ "$texts" = "$count" ] || [ "$texts" = $((count - 1)) ] || { wrong=$((wrong + 1)); echo "  $texts texts of $count events: $file"; }
    if grep -qx 'exit 0' "$file" && grep -qx 200 "$file"; then
        [ "$count" = $EVENTS ] && whole=$((whole + 1)) || { wrong=$((wrong + 1)); echo "  complete after $count events: $file"; }
    else
        broken=$((broken + 1))
    fi
done
total=$((whole + broken))
stopped=$(cat "$OUT"/relay-*.log | grep -c 'event=reading-stopped')
resumed=$(grep -c '^run .*Last-Event-Id=[1-9]' "$RECORD")
expect "reading was stopped for slow callers ($stopped)" [ "$stopped" -ge 1 ]
expect "streams went on at another server ($resumed)" [ "$resumed" -ge 1 ]
expect "no event is missing, doubled or torn, and no end too early ($wrong of $total)" [ $wrong = 0 ]
expect "half of the streams are whole ($whole of $total)" [ $((whole * 2)) -ge $total ]
finish
