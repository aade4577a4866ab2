#!/usr/bin/env bash
# Guards against requests with large bodies that are given up while their server reads nothing for three seconds.
. "$(dirname "$0")/lost-lib.sh"
DEADLINE_MS=15000 # a busy machine passes on the 24 MB in seconds
start_platform 1 1 || exit 1
relay_config 2 | sed 's/"timeout_ms":800/"timeout_ms":15000/g; s/"max_body_bytes":65536/"max_body_bytes":33554432/' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 || exit 1
sleep 2
engine e1 '{"events":40,"gap_ms":50}'
head -c 12000000 /dev/zero | tr '\0' x >"$OUT/large"

# large NAME COUNT PATH: requests with 12 MB each
large() {
    local i
    for ((i = 1; i <= $2; i++)); do
        {
            ID="$1-$i" send_request 1 "$3" "${KEY1[@]}" "${LLM_HEADERS[@]}" --data-binary "@$OUT/large"
            echo "exit $?"
        } >"$OUT/$1-$i" &
    done
}
# stop_reading NAME SECONDS: the servers' kernels take the requests, nobody reads
stop_reading() {
    kill -STOP "${PIDS[link]}"
    large "$1-strike" 1 /strike/x
    large "$1-read" 1 /read/x
    sleep "$2"
    kill -CONT "${PIDS[link]}"
    wait_streams
    expect_none_cut "$1-strike" "none is cut while its server reads nothing for $2 s"
    expect "and it is answered" [ "$(count_ends "$1-strike" complete)" = 1 ]
    expect_none_cut "$1-read" "nor one that may be repeated"
    expect "and it is answered" [ "$(count_ends "$1-read" complete)" = 1 ]
    sleep 1
}
stop_reading short 1
stop_reading long 3.2
finish
