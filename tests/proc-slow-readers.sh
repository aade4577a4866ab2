#!/usr/bin/env bash
# Guards against a host that exceeds its memory over callers and servers that read slowly, or cuts off what would have been read.
# Freed memory that AddressSanitizer holds back is not the daemon's.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
. "$(dirname "$0")/relay-lib.sh"
MEMORY_MB=120
# Beyond what the daemon takes at its start, 3 MB. The rest is for what the kernel holds of the connections.
PEAK_MB=80
# AddressSanitizer keeps a byte for each eight.
grep -q __asan_init "$BUILD/celeryspoold" && PEAK_MB=$((PEAK_MB * 9 / 8))
ENGINES=6
SLOW=50
# Long enough that the kernel cannot buffer what the host does not.
EVENTS=220
EVENT_BYTES=65536
GAP_MS=35
STREAM_MS=$((EVENTS * GAP_MS))
# A server cuts off an answer that is unread for so long.
UNREAD_MS=3000

start_platform $ENGINES 2 || exit 1
relay_config 2 | sed 's/"timeout_ms":[0-9]*/"timeout_ms":60000/g; s/"max_body_bytes":65536/"max_body_bytes":4194304/' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
relay_settings 1 >"$OUT/relay-1.ini"
[ -n "${NO_MEMORY_MB:-}" ] || echo "memory_mb = $MEMORY_MB" >>"$OUT/relay-1.ini"
run relay-1 "$BUILD/celeryspoold" --settings "$OUT/relay-1.ini"
wait_for "http://$(ready_addr 1)/readiness" || exit 1
sleep 1
for ((i = 1; i <= ENGINES; i++)); do
    engine e$i "{\"events\":$EVENTS,\"gap_ms\":$GAP_MS,\"event_bytes\":$EVENT_BYTES,\"unread_ms\":$UNREAD_MS}"
done

memory_mb() { awk "/^$1:/{print int(\$2 / 1024)}" "/proc/${PIDS[relay-1]}/status"; }
metric() { curl -s --max-time 2 "http://$(metrics_addr 1)/" | sed -n "s/^celeryspool_$1 //p"; }
# call NAME PATH [CURL OPTION…]: status, curl's exit status, ms and bytes of a call
call() {
    local name=$1 path=$2
    shift 2
    curl -s --max-time 60 -o "$OUT/$name.body" -w '%{http_code} %{exitcode} %{time_total} %{size_download}\n' -H 'Host: a.example' \
        -H "X-Celeryspool-Attempt-Id: $name" -H 'X-Celeryspool-Deadline-Milliseconds: 60000' "${KEY1[@]}" "$@" \
        "http://$(relay_addr 1)$path" >"$OUT/$name"
}
# call_direct NAME SERVER PATH [CURL OPTION…]: a call without the host, which shows what the machine takes
call_direct() {
    local name=$1 server=$2 path=$3
    shift 3
    curl -s --max-time 60 -o "$OUT/$name.body" -w '%{http_code} %{exitcode} %{time_total} %{size_download}\n' \
        -H "X-Celeryspool-Attempt-Id: $name" -H 'X-Celeryspool-Tenant: ws1' "$@" "http://$(server_addr "$server")$path" >"$OUT/$name"
}
stream_direct() { call_direct "$1" "$2" /review/x "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $1:800" -d x; }
stream() { call "$1" /review/x "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $1:800" -d x "${@:2}"; }
# count_whole NAME: streams with all events, each of full length
count_whole() {
    local file count=0
    for file in "$OUT/$1"-*.body; do
        [ "$(grep -c '^id: ' "$file")" = $EVENTS ] && [ "$(sed -n 's/^id: //p' "$file" | tail -1)" = $EVENTS ] &&
            [ "$(stat -c %s "$file")" -ge $((EVENTS * EVENT_BYTES)) ] && grep -q '^200 0 ' "${file%.body}" && count=$((count + 1))
    done
    echo $count
}
slowest_ms() { cat "$OUT/$1"-*[0-9] | awk '$3 > max {max = $3} END {print int(max * 1000)}'; }
# Of the slowest twentieth a busy machine may delay a few.
usual_ms() { cat "$OUT/$1"-*[0-9] | awk '{print int($3 * 1000)}' | sort -n | awk '{t[NR] = $1} END {print t[int(NR * 0.95)]}'; }
count_answered() { cat "$OUT/$1"-*[0-9] | grep -c '^200 0 '; }
# pause_then_read NAME SECONDS: a caller that reads nothing for a while
pause_then_read() {
    stream "$1" &
    local child
    sleep 1
    child=$(pgrep -P $!)
    kill -STOP "$child"
    sleep "$2"
    kill -CONT "$child"
    wait $!
}
# fast_calls NAME COUNT [CURL OPTION…]: small calls, one after the other
fast_calls() {
    local n
    for ((n = 1; n <= $2; n++)); do
        call "$1-$n" /read/x "${@:3}"
        sleep 0.05
    done
}

BEFORE=$(memory_mb VmHWM)
growth_mb() { echo $(($(memory_mb VmHWM) - BEFORE)); }
echo "    before: $BEFORE MB"
for ((i = 1; i <= SLOW; i++)); do stream slow-$i --limit-rate 600k & done
for ((i = 1; i <= 4; i++)); do pause_then_read paused-$i 8 & done
sleep 2
for ((i = 1; i <= 4; i++)); do
    stream fast-$i &
    stream_direct direct-$i $i &
done
fast_calls plain 80 &
for ((i = 1; i <= 80; i++)); do
    call_direct bare-$i 21 /read/x
    sleep 0.05
done &
for ((i = 0; i < 20; i++)); do
    sleep 0.4
    echo "$(metric held_caller_bytes) $(metric held_stopped)"
done >"$OUT/held"
echo "    held for callers: at most $(sort -g "$OUT/held" | tail -1 | cut -d' ' -f1) bytes; stopped: at most $(cut -d' ' -f2 "$OUT/held" | sort -n | tail -1)"
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
expect "slow callers: memory grows by less than $PEAK_MB of $MEMORY_MB MB ($(growth_mb))" [ "$(growth_mb)" -lt $PEAK_MB ]
expect "no server cuts off an unread answer ($(grep -c '^unread' "$RECORD"))" [ "$(grep -c '^unread' "$RECORD")" = 0 ]
expect "slow callers have whole answers ($(count_whole slow) of $SLOW, the last after $(slowest_ms slow) ms)" [ "$(count_whole slow)" = $SLOW ]
expect "and those that read nothing for 8 s ($(count_whole paused) of 4)" [ "$(count_whole paused)" = 4 ]
expect "fast callers have whole answers ($(count_whole fast) of 4)" [ "$(count_whole fast)" = 4 ]
expect "as those without the host ($(count_whole direct) of 4)" [ "$(count_whole direct)" = 4 ]
# A busy machine delays those without the host too.
direct_ms=$(slowest_ms direct)
[ "$direct_ms" -ge $STREAM_MS ] || direct_ms=$STREAM_MS
expect "and are not delayed ($(slowest_ms fast) of $direct_ms ms)" [ "$(slowest_ms fast)" -le $((direct_ms * 13 / 10)) ]
bare_ms=$(usual_ms bare)
[ "$bare_ms" -ge 200 ] || bare_ms=200
expect "nor are small calls (95 of 100 within $(usual_ms plain) ms, without the host $(usual_ms bare) ms, the slowest $(slowest_ms plain) ms, $(count_answered plain) of 80 answered)" [ "$(usual_ms plain)" -le $((bare_ms * 3 / 2)) -a "$(count_answered plain)" = 80 ]
expect "reading from servers was stopped ($(metric reads_stopped_total) times)" [ "$(metric reads_stopped_total)" -gt 0 ]
expect "and goes on everywhere" [ "$(metric held_stopped)" = 0 ]
expect "no answer was ended" [ "$(metric unread_answers_dropped_total)" = 0 ]

engine p1 '{"read_rate":250000}'
head -c 1000000 /dev/zero | tr '\0' x >"$OUT/large"
sleep 3.2 # open connections to it have expired
for ((i = 1; i <= 24; i++)); do call large-$i /read/x --data-binary "@$OUT/large" & done
fast_calls small 60 -d x &
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
expect "large bodies: memory grows by less than $PEAK_MB MB ($(growth_mb))" [ "$(growth_mb)" -lt $PEAK_MB ]
expect "all are answered ($(count_answered large) of 24, the last after $(slowest_ms large) ms)" [ "$(count_answered large)" = 24 ]
expect "some were read slowly" [ "$(slowest_ms large)" -ge 2000 ]
expect "small calls beside them are answered ($(count_answered small) of 60)" [ "$(count_answered small)" = 60 ]
finish
