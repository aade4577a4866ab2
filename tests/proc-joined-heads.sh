#!/usr/bin/env bash
# Guards against the beginning of a head that belongs to no request, read as one with the head of the next answer.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=2
ROUNDS=${ROUNDS:-8}
RETRY_SLACK=4000
start_platform 2 2 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start

# call HOST PATH ID: status and body go to a file
call() {
    ID=$3 send_request "$1" "$2" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$3:250" -d x >"$OUT/call-$3" &
    CALLS+=($!)
}
# calls NAME ROUNDS: each host gets each kind of request, a few at a time
calls() {
    local round host kind
    for ((round = 1; round <= $2; round++)); do
        CALLS=()
        for ((host = 1; host <= HOSTS; host++)); do
            for kind in strike read flag review; do call $host /$kind/x "$1-$kind-$round-$host"; done
        done
        wait "${CALLS[@]}"
    done
}
# to_all COMMAND
to_all() {
    local server
    for server in e1 e2 p1 p2; do engine $server "$1"; done
}
# count_status NAME STATUS: calls that ended with it
count_status() { tail -qn 1 "$OUT"/call-$1-* | grep -cx "$2"; }
# strays COUNT: whether so many were sent since the last call
SEEN=0
strays() {
    local count=$(grep -c '^extra ' "$RECORD")
    expect "beginnings of heads were sent ($((count - SEEN)))" [ $((count - SEEN)) -ge "$1" ]
    SEEN=$count
}
calls before 3 # connections that are kept
expect "all are served without such bytes" [ "$(count_status before 200)" = $((3 * HOSTS * 4)) ]

to_all '{"mode":"error","extra_answer":"HTTP/1.1 200 OK\r\nX-Rest: ","extra_every":4}'
calls failed "$ROUNDS"
strays 10
for kind in strike read; do # engines do not fail
    expect "$kind: no failure of a server becomes a success ($(count_status failed-$kind 200))" [ "$(count_status failed-$kind 200)" = 0 ]
done

to_all '{"mode":"well","extra_answer":"HTTP/1.1 500 Failed\r\nX-Rest: ","extra_every":4}'
calls served "$ROUNDS"
strays 10
expect "half of the requests are served ($(count_status served 200))" [ "$(count_status served 200)" -ge $((ROUNDS * HOSTS * 2)) ]
expect "no success of a server becomes a failure of its own ($(count_status served 500))" [ "$(count_status served 500)" = 0 ]

to_all '{"extra_answer":"HTTP/1.1 404 Missing\r\nX-Rest: ","extra_every":4}'
calls missing "$ROUNDS"
strays 10
expect "half of the requests are served ($(count_status missing 200))" [ "$(count_status missing 200)" -ge $((ROUNDS * HOSTS * 2)) ]
expect "no success of a server becomes another status ($(count_status missing 404))" [ "$(count_status missing 404)" = 0 ]
finish
