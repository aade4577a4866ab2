#!/usr/bin/env bash
# Guards against what a copy of a rejection says of its server (limit, rest, leaving, brittle), believed on a connection that carries another request.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=2
ROUNDS=${ROUNDS:-1}
RETRY_SLACK=4000
start_platform 2 2 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start

# call_in_turn NAME HOST KIND COUNT: requests of one kind, one after the other
call_in_turn() {
    local n id
    for ((n = 1; n <= $4; n++)); do
        id=$1-$3-$n-$2
        ID=$id send_request "$2" "/$3/x" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$id:250" -d x >"$OUT/call-$id"
    done
}
# calls NAME ROUNDS: each host gets all kinds of requests
calls() {
    local host
    CALLS=()
    for ((host = 1; host <= HOSTS; host++)); do
        call_in_turn "$1" $host strike $(($2 * 3)) & CALLS+=($!)
        call_in_turn "$1" $host read $(($2 * 3)) & CALLS+=($!)
        call_in_turn "$1" $host flag "$2" & CALLS+=($!)
        call_in_turn "$1" $host review "$2" & CALLS+=($!)
    done
    wait "${CALLS[@]}"
}
# settle NAME: calls until all are served: servers count as sound again, and connections are kept
settle() {
    local n
    for ((n = 1; n <= 20; n++)); do
        calls "settle-$1-$n" 1
        [ "$(tail -qn 1 "$OUT"/call-settle-$1-$n-* | grep -vcx 200)" != 0 ] || return 0
        sleep 0.3
    done
    return 1
}
# heard PATTERN: lines in which hosts say what they have heard of servers
heard() { cat "$OUT"/relay-*.log | grep -cE "event=($1)( |$)"; }
# learned: the same in their metrics
learned() {
    local host
    for ((host = 1; host <= HOSTS; host++)); do curl -s --max-time 2 "http://$(metrics_addr $host)/"; done | grep -cE '^celeryspool_server_(limit|rest_ms|leaving|brittle)'
}
SIGNALS='Server-Limit: 0.10\r\nRetry-After: 30\r\nServer-Leaving: 1\r\nServer-Brittle: 1\r\n'
rejection() { echo "HTTP/1.1 503 Service Unavailable\r\n${1:+X-Celeryspool-Attempt-Id: $1\r\n}X-Celeryspool-Not-Executed: 1\r\n$SIGNALS"; }
EMPTY='Content-Length: 0\r\n\r\n'

# play NAME ALL TEXT [WAIT_MS]: copies before the answers of kept connections; with
# ALL=1 nearly all requests are served beside them
play() {
    local name=$1 all=$2 text=${3//\\/\\\\} before strays extras file id server served=0 sent=0 refused=0 twice=0
    settle "$name"
    before=$(grep -c '^extra ' "$RECORD") strays=$(heard 'stray-answer|unnamed-answer')
    for server in e1 e2 p1 p2; do engine $server "{\"extra_answer\":\"${text//\\\\/\\}\",\"extra_every\":1,\"extra_wait_ms\":${4:-5}}"; done
    calls "$name" "$ROUNDS"
    for server in e1 e2 p1 p2; do engine $server '{"extra_answer":""}'; done
    extras=$(($(grep -c '^extra ' "$RECORD") - before))
    for file in "$OUT"/call-$name-*; do
        id=${file##*/call-}
        sent=$((sent + 1))
        case $(tail -1 "$file") in
        200) served=$((served + 1)) ;;
        408 | 421 | 429 | 503) [ "$(count_runs "$id")" = 0 ] || refused=$((refused + 1)) ;;
        esac
        case $id in *-strike-* | *-flag-*) [ "$(count_runs "$id")" -le 1 ] || twice=$((twice + 1)) ;; esac
    done
    strays=$(($(heard 'stray-answer|unnamed-answer') - strays))
    expect "$name: copies were sent ($extras, $strays of them read whole for a request)" [ "$extras" -ge $((ROUNDS * 3)) ]
    [ "$all" = 0 ] || expect "$name: they came to requests" [ "$strays" -ge $((ROUNDS * 3)) ]
    expect "$name: none was refused after a run ($refused), none ran twice ($twice) of $sent" [ $((refused + twice)) = 0 ]
    [ "$all" = 0 ] || expect "$name: nearly all are served ($served of $sent)" [ $((served * 20)) -ge $((sent * 19)) ]
    [ "$all" = 1 ] || echo "  $name: $served of $sent served"
    expect "$name: nothing is learned from them ($(heard "$STATED"), $(learned))" [ "$(heard "$STATED")$(learned)" = 00 ]
}
STATED='limit-stated|rest-asked|leaving|brittle'
calls before 2 # connections that are kept
for server in p1 p2; do engine $server '{"work_ms":40}'; done
play none 1 "$(rejection)$EMPTY"
play other 1 "$(rejection someone-else)$EMPTY"
play earlier 1 "$(rejection '{earlier}')$EMPTY"
play success 1 "HTTP/1.1 200 OK\r\nX-Celeryspool-Attempt-Id: {earlier}\r\nX-Celeryspool-Server-Signature: sig.x\r\n${SIGNALS}Content-Length: 5\r\n\r\nwrong"
# In two and three pieces, the last of which comes before the answer or while the connection is idle or reused.
play pieces 0 "$(rejection '{earlier}' | sed 's/Server-L/{wait}&/;s/Brittle/{wait}&/')$EMPTY" 4
play body-pieces 0 "$(rejection '{earlier}')Content-Length: 10\r\n\r\nabcde{wait}fghij" 6
play late 0 "{wait}$(rejection '{earlier}')$EMPTY" 55
play later 0 "{wait}$(rejection '{earlier}')$EMPTY" 400
# Cut off in a value, after a field and in the body.
play cut-value 0 "$(rejection '{earlier}')X-Rest: "
play cut-field 0 "$(rejection '{earlier}')"
play cut-body 0 "$(rejection '{earlier}')Content-Length: 30\r\n\r\nabc"
expect "no caller gets an answer that is not its own" [ "$(cat "$OUT"/call-* | grep -c wrong)" = 0 ]

settle own
# The same statements in answers that are the request's own are learned.
for server in e1 e2; do engine $server '{"limit_per_s":50,"brittle":50,"leaving":true}'; done
for server in p1 p2; do engine $server '{"mode":"shed","rest_s":2}'; done
calls own 1
for signal in limit-stated brittle rest-asked leaving; do
    expect "$signal: learned from own answers ($(heard $signal))" [ "$(heard $signal)" -ge 1 ]
done
expect "and shown ($(learned))" [ "$(learned)" -ge 1 ]
finish
