#!/usr/bin/env bash
# Guards against many answers without end at a time, of a broken server, that take the memory of a host and the requests of other callers with it.
# Freed memory that AddressSanitizer holds back is not the daemon's.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
. "$(dirname "$0")/relay-lib.sh"
CALLS_MAX=${CALLS_MAX:-200}
TIMEOUT_MS=3000
MEMORY_MB=256 # all that a daemon may use
KINDS="body chunks head bytes event events"

many_config() {
    local kind name routes= services=
    for name in $KINDS; do
        kind=idempotent
        case $name in event*) kind=streaming ;; esac
        routes+="{\"name\":\"$name\",\"host\":\"a.example\",\"path_prefix\":\"/$name/\",\"kind\":\"$kind\",\"timeout_ms\":$TIMEOUT_MS,\"target_latency_ms\":500,\"target_gap_ms\":800,\"attempts\":2,\"resumable\":false,\"priority\":2,\"service\":\"bad-$name\"},"
        services+="{\"name\":\"bad-$name\",\"health_check_path\":\"/health\"},"
    done
    relay_config 2 | sed "s|\"routes\":\[|&$routes|; s|\"services\":\[|&$services|"
}
# start_garbage NUMBER KIND
start_garbage() {
    run "garbage-$2" "$BUILD/fake-garbage" --listen "$(server_addr "$1")" --id "g-$2" --kind "$2" --rate "${RATE:-40}"
    post_admin "object/servers/g-$2" "{\"service\":\"bad-$2\",\"address\":\"$(server_addr "$1")\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":400,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}"
}
# memory_mb FIELD
memory_mb() { awk "/^$1:/{print int(\$2 / 1024)}" "/proc/${PIDS[relay-1]}/status"; }

# calls_file NAME PATH COUNT: curl's configuration for so many calls
calls_file() {
    local n
    for ((n = 1; n <= $3; n++)); do
        printf 'url = "http://%s%s"\noutput = /dev/null\nsilent\nmax-time = 6\ndata = x\nwrite-out = "%%{http_code} %%{time_total}\\n"\n' "$(relay_addr 1)" "$2"
        printf 'header = "%s"\n' 'Host: a.example' "X-Celeryspool-Attempt-Id: $1-$n" "X-Celeryspool-Deadline-Milliseconds: ${DEADLINE_MS:-5000}" 'Authorization: Token key1'
        echo next
    done | sed '$d'
}

start_platform 2 2 || exit 1
many_config >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
number=40
for kind in $KINDS; do start_garbage $((number++)) "$kind"; done
start_relays 1 || exit 1
sleep 2 # a daemon makes no retries just after its start

for kind in $KINDS; do
    calls_file "$kind" "/$kind/x" "$CALLS_MAX" | curl -K - --no-progress-meter --parallel --parallel-max "$CALLS_MAX" >"$OUT/$kind" &
    bad=$!
    sleep 0.5
    DEADLINE_MS=1500 calls_file "sound-$kind" /read/x 20 | curl -K - >"$OUT/sound-$kind" &
    sound=$!
    wait $bad $sound
    echo "  $kind: $(awk '{print $1}' "$OUT/$kind" | sort | uniq -c | xargs), the longest $(awk '{print $2}' "$OUT/$kind" | sort -n | tail -1) s, at most $(memory_mb VmHWM) MB so far"
    expect "$kind: other callers are served ($(grep -c '^200' "$OUT/sound-$kind") of 20)" [ "$(grep -c '^200' "$OUT/sound-$kind")" = 20 ]
done
# A call that is held until its time is over gets 504.
late=$(grep -c '^504' "$OUT/body")
expect "body: nearly all end before their time ($late of $CALLS_MAX do not)" [ "$late" -le $((CALLS_MAX / 10)) ]
expect "memory stays within $MEMORY_MB MB (at most $(memory_mb VmHWM))" [ "$(memory_mb VmHWM)" -le $MEMORY_MB ]
expect "the daemon runs" kill -0 "${PIDS[relay-1]}"
finish
