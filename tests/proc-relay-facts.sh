#!/usr/bin/env bash
# The operator changes routes, takes keys away and names new weights while the
# store forgets its history and loses answers. Every daemon follows within two
# seconds and never goes back; every server gets each version once, by one
# holder of the lease, also when that holder is killed.
. "$(dirname "$0")/relay-lib.sh"
start_platform 4 1 && start_relays 3 || exit 1
expect "old key is good at first" [ "$(status_of 1 /read/x -H 'Authorization: Token old-key')" = 200 ]
sed 's/,"old-key"//; s/"version":1/"version":5/; s#"/open/"#"/moved/"#' "$OUT/config-1.json" >"$OUT/config-5.json"
admin store '{"forget":true}'
admin object/config/main "@$OUT/config-5.json"
sleep 2
for i in 1 2 3; do
    expect "daemon $i: key is gone" [ "$(status_of $i /read/x -H 'Authorization: Token old-key')" = 401 ]
    expect "daemon $i: new route" [ "$(status_of $i /moved/x)" = 200 ]
    expect "daemon $i: old route is gone" [ "$(status_of $i /open/x)" = 404 ]
done
# The history is gone and an older version comes back under a newer revision.
admin object/config/main "@$OUT/config-1.json"
sleep 1
expect "an older version is not taken" [ "$(status_of 1 /moved/x)" = 200 ]

loaded() { grep -c "order .*status=202 .*\"version\": *$1" "$RECORD"; }
wait_loaded() {
    local i
    for ((i = 0; i < 100; i++)); do [ "$(loaded "$1")" = 4 ] && return 0; sleep 0.1; done
    return 1
}
admin object/versions/m1 '{"model":"m1","version":2}'
expect "each server loads version 2 once" wait_loaded 2
holder=$(grep -l 'event=lease-held' "$OUT"/relay-*.log | head -1 | sed 's/.*relay-\([0-9]\).*/\1/')
admin store '{"lose":2}'
kill -KILL "${PIDS[relay-$holder]}"
admin object/versions/m1 '{"model":"m1","version":3}'
expect "a killed holder is succeeded, answers lost" wait_loaded 3
sleep 0.5
fences=$(grep 'order .*status=202' "$RECORD" | sed 's/.*"fencing_token": *\([0-9]*\).*/\1/')
expect "fencing numbers only grow" [ "$fences" = "$(echo "$fences" | sort -n)" ]
expect "two holders, two numbers" [ "$(echo "$fences" | sort -u | wc -l)" = 2 ]
other=$((holder % 3 + 1))
expect "requests are made on the new weights" [ "$(ask $other /review/v "${KEY1[@]}" "${LLM[@]}" -d x | grep -c token-)" = 8 ]
expect "and say so" grep -q 'uri=/review/v .*Expected-Version=3 ' "$RECORD"
finish
