#!/usr/bin/env bash
# Guards against daemons and servers that miss changes of routes, keys and
# weights, or go back to older ones, when the store loses its history and
# answers. Every daemon must follow a change within two seconds, and every server
# must load each version once, ordered by one lease holder, also when that holder
# is killed.
. "$(dirname "$0")/relay-lib.sh"
start_platform 4 1 && start_relays 3 || exit 1
expect "the old key is accepted at first" [ "$(request_status 1 /read/x -H 'Authorization: Token old-key')" = 200 ]
sed 's/,"old-key"//; s/"version":1/"version":5/; s#"/open/"#"/moved/"#' "$OUT/config-1.json" >"$OUT/config-5.json"
post_admin store '{"forget":true}'
post_admin object/config/main "@$OUT/config-5.json"
sleep 2
for i in 1 2 3; do
    expect "daemon $i: the old key is rejected" [ "$(request_status $i /read/x -H 'Authorization: Token old-key')" = 401 ]
    expect "daemon $i: the new route works" [ "$(request_status $i /moved/x)" = 200 ]
    expect "daemon $i: the old route is unknown" [ "$(request_status $i /open/x)" = 404 ]
done
# After the loss of the history an older version is written under a newer revision.
post_admin object/config/main "@$OUT/config-1.json"
sleep 1
expect "an older version is not adopted" [ "$(request_status 1 /moved/x)" = 200 ]

count_loads() { grep -c "order .*status=202 .*\"version\": *$1" "$RECORD"; }
wait_loaded() {
    local i
    for ((i = 0; i < 100; i++)); do [ "$(count_loads "$1")" = 4 ] && return 0; sleep 0.1; done
    return 1
}
post_admin object/versions/m1 '{"model":"m1","version":2}'
expect "each server loads version 2 once" wait_loaded 2
holder=$(grep -l 'event=lease-held' "$OUT"/relay-*.log | head -1 | sed 's/.*relay-\([0-9]\).*/\1/')
post_admin store '{"lose":2}'
kill -KILL "${PIDS[relay-$holder]}"
post_admin object/versions/m1 '{"model":"m1","version":3}'
expect "another daemon takes over from a killed holder, despite lost answers" wait_loaded 3
sleep 0.5
tokens=$(grep 'order .*status=202' "$RECORD" | sed 's/.*"fencing_token": *\([0-9]*\).*/\1/')
expect "fencing tokens never decrease" [ "$tokens" = "$(echo "$tokens" | sort -n)" ]
expect "two holders have two fencing tokens" [ "$(echo "$tokens" | sort -u | wc -l)" = 2 ]
other=$((holder % 3 + 1))
expect "requests run on the new weights" [ "$(send_request $other /review/v "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x | grep -c token-)" = 8 ]
expect "and name them" grep -q 'uri=/review/v .*Expected-Version=3 ' "$RECORD"
finish
