#!/usr/bin/env bash
# Guards against answers too many in front of a service's answers and of orders, taken for theirs.
. "$(dirname "$0")/proc-lib.sh"
LINK_ADMIN=127.0.0.1:$((7600 + BASE))
QUERIES=${QUERIES:-24}
start_store && start_service && start_engines 2 && start_daemons 1 || exit 1
links=(--link "127.0.0.1:$((7603 + BASE)),$SERVICE")
for i in 1 2; do links+=(--link "127.0.0.1:$((7600 + BASE + i)),$(engine_addr $i)"); done
run link "$BUILD/fake-link" --admin "$LINK_ADMIN" "${links[@]}"
true_addr() { echo "127.0.0.1:$((9100 + BASE + $1))"; }
engine_addr() { echo "127.0.0.1:$((7600 + BASE + $1))"; } # as the daemon sees it
SERVICE=$(engine_addr 3)
declare_all 2 moderation && wait_generation 1 || exit 1

# extra TEXT BEFORE EVERY: prints how often extra answers were sent so far
extra() { curl -s --max-time 2 -d "{\"extra\":\"$1\",\"before\":\"$2\",\"every\":${3:-1}}" "http://$LINK_ADMIN/cut"; }
# queries NAME METHOD: four at a time; answers name their path
queries() {
    local n calls=()
    for ((n = 1; n <= QUERIES; n++)); do
        curl -s --max-time 5 -w '\n%{http_code}\n' -X "$2" -H 'Authorization: Bearer key-1' ${3:+-d "{\"key\":\"$1-$n\"}"} "http://$(daemon_addr 1)/v1/services/desk/ranks/$1-$n" >"$OUT/$1-$n" &
        calls+=($!)
        [ $((n % 4)) != 0 ] || { wait "${calls[@]}"; calls=(); }
    done
    [ ${#calls[@]} = 0 ] || wait "${calls[@]}"
}
# wrong NAME: answers with status 200 that do not name their own query
wrong() {
    local n count=0
    for ((n = 1; n <= QUERIES; n++)); do
        [ "$(tail -1 "$OUT/$1-$n")" != 200 ] || grep -qE "$1-$n\"" "$OUT/$1-$n" || count=$((count + 1))
    done
    echo $count
}
# play NAME METHOD BODY TEXT: calls beside extra answers
play() {
    local before extras
    before=$(extra "$4" "$2 /ranks" 2)
    queries "$1" "$2" $3
    extras=$(($(extra "" "") - before))
    echo "  $1: $extras extra answers; status $(for ((n = 1; n <= QUERIES; n++)); do tail -1 "$OUT/$1-$n"; done | sort | uniq -c | tr -s ' \n' ' ')"
    expect "$1: no call goes over a connection that has carried one ($extras)" [ "$extras" = 0 ]
    expect "$1: no caller gets an answer that is not its own ($(wrong "$1") of $QUERIES)" [ "$(wrong "$1")" = 0 ]
}
queries alone GET
expect "all are answered without extra answers" [ "$(wrong alone)" = 0 ]
play query-failed GET "" 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
play query-other GET "" 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
play effect POST body 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'

before=$(extra 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n' 'POST /orders')
ctl rollout moderation v2 >/dev/null
for i in 1 2; do
    for ((n = 0; n < 60; n++)); do
        truth "$(true_addr $i)" >"$OUT/engine-$i.json"
        [ "$(get "$OUT/engine-$i.json" version)" = v2 ] && break
        sleep 0.1
    done
    expect "engine-$i loads the weights by orders over new connections" [ "$(get "$OUT/engine-$i.json" version)" = v2 ]
done
extras=$(($(extra "" "") - before))
expect "no order goes over a kept connection ($extras)" [ "$extras" = 0 ]
finish
