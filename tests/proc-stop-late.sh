#!/usr/bin/env bash
# Guards against requests that a host takes during its stop, passes on and cuts without an answer when its grace ends.
. "$(dirname "$0")/relay-lib.sh"
# The host is gone 700 ms before its grace ends.
STOP_S=6
eval "$(declare -f relay_settings | sed '1s/relay_settings/base_settings/')"
relay_settings() { base_settings "$1" | sed "s/^stop_s = .*/stop_s = $STOP_S/"; }
start_platform 2 2 && start_relays 2 || exit 1
wait_daemons 2
relay_config 2 | sed 's#"routes":\[#&{"name":"long","host":"a.example","path_prefix":"/long/","kind":"non_idempotent","timeout_ms":20000,"target_latency_ms":20000,"attempts":1,"priority":2,"service":"desk"},{"name":"none","host":"a.example","path_prefix":"/none/","kind":"idempotent","timeout_ms":20000,"target_latency_ms":160000,"attempts":1,"priority":2,"service":"nobody"},#; s#"services":\[#&{"name":"nobody"},#' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
for id in p1 p2; do engine $id '{"work_ms":12000}'; done
for id in e1 e2; do engine $id '{"events":200,"gap_ms":50}'; done
sleep 2

# call ID PATH [CURL OPTION…]: body, status and curl's exit status go to a file, and the time, ms
call() {
    local id=$1 path=$2 begin=$(now_ms)
    shift 2
    ID=$id DEADLINE_MS=20000 send_request 1 "$path" "${KEY1[@]}" "${LLM_HEADERS[@]}" "$@" >"$OUT/call-$id"
    echo "exit $? $(($(now_ms) - begin))" >>"$OUT/call-$id"
}
status() { tail -2 "$OUT/call-$1" | head -1; }
took_ms() { awk '$1 == "exit" { print $3 }' "$OUT/call-$1"; }
CALLS=()
later() {
    call "$@" &
    CALLS+=($!)
}
# A request whose body takes until after the end, and a connection that sends one in the last second.
send_slowly() {
    exec 8<>"/dev/tcp/127.0.0.1/$((7201 + BASE))"
    printf 'POST /strike/x HTTP/1.1\r\nHost: a.example\r\nX-Celeryspool-Attempt-Id: slow-body\r\nAuthorization: Token key1\r\nContent-Length: 40\r\n\r\n' >&8
    for ((i = 0; i < 40; i++)); do
        printf x >&8 || break
        sleep 0.25
    done 2>/dev/null &
    timeout 12 cat <&8 >"$OUT/slow-body"
    exec 8>&-
}
send_last() {
    exec 7<>"/dev/tcp/127.0.0.1/$((7201 + BASE))"
    sleep $((STOP_S - 2))
    printf 'POST /strike/x HTTP/1.1\r\nHost: a.example\r\nX-Celeryspool-Attempt-Id: last\r\nAuthorization: Token key1\r\nContent-Length: 1\r\n\r\nx' >&7
    timeout 3 cat <&7 >"$OUT/last"
    exec 7>&-
} 2>/dev/null

later before /long/x -d x
later waits /none/x -d x
sleep 0.5
kill -TERM "${PIDS[relay-1]}"
begin=$(now_ms)
send_slowly &
CALLS+=($!)
send_last &
CALLS+=($!)
for n in 1 2 3 4; do
    sleep 0.5
    later during-$n /long/x -d x
    later read-$n /flag/x -d x
done
wait "${PIDS[relay-1]}"
code=$?
ended_ms=$(($(now_ms) - begin))
wait "${CALLS[@]}"
for n in 1 2 3 4; do
    expect "during-$n: refused at once ($(status during-$n) after $(took_ms during-$n) ms)" [ "$(status during-$n)" = 503 -a "$(took_ms during-$n)" -le 500 ]
    expect "during-$n: does not run" [ "$(count_runs during-$n)" = 0 ]
done
expect "before: ran and gets an answer at the end ($(status before))" [ "$(status before)" = 502 -a "$(count_runs before)" = 1 ]
expect "waits: gets a refusal ($(status waits))" [ "$(status waits)" = 503 ]
expect "slow-body: gets a refusal ($(head -1 "$OUT/slow-body"))" grep -q '^HTTP/1.1 503 ' "$OUT/slow-body"
expect "slow-body: does not run" [ "$(count_runs slow-body)" = 0 ]
expect "last: is not taken" [ "$(count_runs last)" = 0 ]
expect "the host ends in time and by itself (status $code, $ended_ms ms)" [ $code = 0 -a $ended_ms -le $((STOP_S * 1000)) ]
expect "no request is left ($(grep -o 'requests_left=.*' "$OUT/relay-1.log"))" grep -q 'event=stopped .*requests_left=0 ' "$OUT/relay-1.log"
finish
