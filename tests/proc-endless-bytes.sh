#!/usr/bin/env bash
# Guards against endless bytes of broken servers that take memory, or hold requests until their time is over.
# Freed memory that AddressSanitizer holds back is not the daemon's.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
. "$(dirname "$0")/relay-lib.sh"
TIMEOUT_MS=3000
AT_ONCE_MS=1500
# A daemon holds one answer of at most 8 MB for each of a few calls.
MEMORY_MB=80
STREAM_KINDS="event repeats"
KINDS="bytes http-bytes empty-lines newlines head interim strays stray-body unsigned body chunks no-chunks chunk-extension chunk-extensions trailer failure rejection $STREAM_KINDS"
# What comes so slowly must be known by its kind.
SLOW_KINDS="bytes unsigned rejection"

# garbage_config: a route and a service for each broken server
garbage_config() {
    local name kind routes= services=
    for name in $KINDS events $(printf 'slow-%s ' $SLOW_KINDS); do
        kind=non_idempotent
        case " $STREAM_KINDS events " in *" $name "*) kind=streaming ;; esac
        routes+="{\"name\":\"$name\",\"host\":\"a.example\",\"path_prefix\":\"/$name/\",\"kind\":\"$kind\",\"timeout_ms\":$TIMEOUT_MS,\"target_latency_ms\":500,\"target_gap_ms\":800,\"attempts\":1,\"resumable\":false,\"priority\":2,\"service\":\"bad-$name\"},"
        services+="{\"name\":\"bad-$name\",\"health_check_path\":\"/health\"},"
    done
    relay_config 2 | sed "s|\"routes\":\[|&$routes|; s|\"services\":\[|&$services|"
}

# start_garbage NUMBER NAME SERVICE KIND RATE_MB_S [OPTION…]
start_garbage() {
    local number=$1 name=$2 service=$3 kind=$4 rate=$5 models=
    shift 5
    run "garbage-$name" "$BUILD/fake-garbage" --listen "$(server_addr "$number")" --id "g-$name" --kind "$kind" --rate "$rate" "$@"
    wait_for_port "$(server_addr "$number")" || return 1
    [ "$service" != llm ] || models=',"models":[{"name":"m1","version":1,"adapters":[]}]'
    post_admin "object/servers/g-$name" "{\"service\":\"$service\",\"address\":\"$(server_addr "$number")\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000$models}"
}
wait_for_port() {
    local n
    for ((n = 0; n < 200; n++)); do
        (: >"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null && return 0
        sleep 0.02
    done
    return 1
}
# memory_mb FIELD [DAEMON]
memory_mb() { awk "/^$1:/{print int(\$2 / 1024)}" "/proc/${PIDS[${2:-relay-1}]}/status"; }

# timed NAME REQUEST [OPTION…]: a call's status, curl's exit status and time in ms
timed() {
    local name=$1 request=$2 start code
    shift 2
    start=$(now_ms)
    send_request 1 "$request" "${KEY1[@]}" -d x "$@" >"$OUT/$name.body"
    code=$?
    echo "$(tail -1 "$OUT/$name.body") $code $(($(now_ms) - start))" >"$OUT/$name"
}
# timed_calls NAME…: two calls of each, side by side
timed_calls() {
    local name n calls=()
    for name in "$@"; do
        for n in 1 2; do
            timed "call-$name-$n" "/$name/x" &
            calls+=($!)
        done
    done
    wait "${calls[@]}"
}
# connections that the daemon closed to a broken server
closed() { grep -c '^closed' "$OUT/garbage-$1.log"; }
slowest() { cat "$OUT/call-$1-"? | awk '$3 > max {max = $3} END {print max}'; }
statuses() { cat "$OUT/call-$1-"? | awk '{print $1}' | sort -u | xargs; }

start_platform 2 2 || exit 1
garbage_config >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
number=40
for name in $KINDS events; do start_garbage $((number++)) "$name" "bad-$name" "$name" 40 || exit 1; done
for name in $SLOW_KINDS; do start_garbage $((number++)) "slow-$name" "bad-slow-$name" "$name" 0.001 || exit 1; done
start_relays 1 || exit 1
sleep 2 # a daemon makes no retries just after its start
before=$(memory_mb VmRSS)

for name in $KINDS $(printf 'slow-%s ' $SLOW_KINDS); do
    status=502
    case $name in *rejection) status=503 ;; event | repeats) status=200 ;; esac
    timed_calls "$name"
    expect "$name: status $status ($(statuses "$name"))" [ "$(statuses "$name")" = $status ]
    expect "$name: ends at once ($(slowest "$name") ms)" [ "$(slowest "$name")" -le $AT_ONCE_MS ]
    sleep 0.1
    expect "$name: its connections are closed ($(closed "$name"), $(tail -1 "$OUT/garbage-$name.log"))" [ "$(closed "$name")" -ge 2 ]
done
for name in $STREAM_KINDS; do
    expect "$name: does not look complete" [ "$(cat "$OUT/call-$name-"? | awk '$2 == 0' | wc -l)" = 0 ]
done
expect "memory stays bounded ($before MB, at most $(memory_mb VmHWM) MB)" [ "$(memory_mb VmHWM)" -le $((before + MEMORY_MB)) ]

timed_calls events
expect "endless events end with the route's time ($(slowest events) ms)" [ "$(slowest events)" -le $((TIMEOUT_MS + 500)) ]
expect "and do not look complete" [ "$(cat "$OUT/call-events-"? | awk '$2 == 0' | wc -l)" = 0 ]
timed slow-caller /events/x --limit-rate 20k
expect "nor do they fill the memory if their caller is slow (at most $(memory_mb VmHWM) MB)" [ "$(memory_mb VmHWM)" -le $((before + MEMORY_MB)) ]

start_garbage $((number++)) llm llm event 40 || exit 1
start_garbage $((number++)) desk desk unsigned 40 || exit 1
sleep 1
calls=()
for ((n = 1; n <= 12; n++)); do
    timed "stream-$n" /review/x "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,b$n:410" &
    calls+=($!)
    timed "plain-$n" /read/x &
    calls+=($!)
    sleep 0.1
done
wait "${calls[@]}"
complete=$(for ((n = 1; n <= 12; n++)); do [ "$(sed -n 's/^id: //p' "$OUT/stream-$n.body" | xargs)" = '1 2 3 4 5 6 7 8' ] && echo $n; done | wc -l)
expect "streams go on at another server ($complete of 12, $(closed llm) were broken off)" [ "$complete" = 12 -a "$(closed llm)" -ge 1 ]
plain=$(grep -l '^answer of p' "$OUT"/plain-*.body | wc -l)
expect "and calls are sent again ($plain of 12, $(closed desk) were broken off)" [ "$plain" = 12 -a "$(closed desk)" -ge 1 ]
expect "memory stays bounded (at most $(memory_mb VmHWM) MB)" [ "$(memory_mb VmHWM)" -le $((before + MEMORY_MB)) ]

for name in body interim; do
    number=$((number + 1))
    run "garbage-store-$name" "$BUILD/fake-garbage" --listen "$(server_addr $number)" --id store --kind $name --rate 40
    wait_for_port "$(server_addr $number)" || exit 1
    PLATFORM_STORE=$(server_addr $number) start_relay $((number - 50))
    sleep 4
    longest=$(sed -n 's/^closed.*ms=//p' "$OUT/garbage-store-$name.log" | sort -n | tail -1)
    expect "store, $name: calls end at once ($(closed "store-$name"), the longest after $longest ms)" [ "${longest:-99999}" -le $AT_ONCE_MS ]
    memory=$(memory_mb VmHWM relay-$((number - 50)))
    expect "store, $name: memory stays bounded (at most $memory MB)" [ "$memory" -le $((before + MEMORY_MB)) ]
done
finish
