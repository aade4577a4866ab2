#!/usr/bin/env bash
# Guards against requests that fail because their only server is silent for a second before it answers.
. "$(dirname "$0")/lost-lib.sh"
start_platform 1 1 || exit 1
long_config 2 | sed 's/"timeout_ms":800/"timeout_ms":8000/g' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 || exit 1
sleep 7
engine e1 '{"events":20,"gap_ms":50}'
engine p1 '{"work_ms":400}'

# silent_for NAME SECONDS: both servers get requests over open connections and
# are silent before they answer
silent_for() {
    local name=$1 i
    hold_links hang 0 1
    for i in 1 2 3; do
        for path in read strike; do
            { ID="$name-$path-$i" send_request 1 /$path/x "${KEY1[@]}" -d x; echo "exit $?"; } >"$OUT/$name-$path-$i" &
        done
    done
    streams "$name-review" 3 /review/x
    streams "$name-flag" 3 /flag/x
    sleep "$2"
    hold_links none 0 1
    wait_streams
    for i in read strike review flag; do
        expect_none_cut "$name-$i" "none is cut"
        expect "each is answered or told that it has not run ($name-$i)" [ "$(count_ends "$name-$i" failed)" = 0 ]
    done
    sleep 1
}
# Opens the connections.
for path in read strike review flag; do streams warm-$path 3 /$path/x; done
wait_streams
silent_for second 1.1
silent_for two 2
finish
