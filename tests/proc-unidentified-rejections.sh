#!/usr/bin/env bash
# Guards against a rejection that bears no id and belongs to no request, taken for the answer to one that runs.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
ROUNDS=${ROUNDS:-12}
RETRY_SLACK=4000
start_platform 2 3 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start

# call HOST PATH ID: status and body go to a file
call() {
    ID=$3 send_request "$1" "$2" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$3:250" -d x >"$OUT/call-$3" &
    CALLS+=($!)
}
# calls NAME ROUNDS: each host gets each kind of request, a few at a time
calls() {
    local round host
    for ((round = 1; round <= $2; round++)); do
        CALLS=()
        for ((host = 1; host <= HOSTS; host++)); do
            call $host /strike/x "$1-strike-$round-$host"
            call $host /flag/x "$1-flag-$round-$host"
            call $host /read/x "$1-read-$round-$host"
            call $host /review/x "$1-review-$round-$host"
        done
        wait "${CALLS[@]}"
    done
}
status() { tail -1 "$OUT/call-$1"; }
# extra TEXT EVERY: what servers send before some of their answers on kept connections
extra() {
    for server in e1 e2 p1 p2 p3; do engine $server "{\"extra_answer\":\"$1\",\"extra_every\":$2}"; done
}
# check NAME KIND…: sent, served (nearly all, unless ALL is 0), refused after a run, run twice
ALL=1
check() {
    local name=$1 kind sent served refused twice extras
    shift
    for kind in "$@"; do
        served=0 refused=0 twice=0 sent=0
        for file in "$OUT"/call-$name-$kind-*; do
            local id=${file##*/call-}
            sent=$((sent + 1))
            case $(status "$id") in
            200) served=$((served + 1)) ;;
            408 | 421 | 429 | 503) [ "$(count_runs "$id")" = 0 ] || refused=$((refused + 1)) ;;
            esac
            [ "$(count_runs "$id")" -le 1 ] || twice=$((twice + 1))
        done
        expect "$name, $kind: none that was refused has run ($refused of $sent)" [ $refused = 0 ]
        case $kind in strike | flag) expect "$name, $kind: none ran twice ($twice of $sent)" [ $twice = 0 ] ;; esac
        [ $ALL = 0 ] || expect "$name, $kind: nearly all are served ($served of $sent)" [ $((served * 20)) -ge $((sent * 19)) ]
    done
}
calls before 3 # connections that are kept
for status in '503 Service Unavailable' '421 Misdirected Request' '429 Too Many Requests'; do
    extra "HTTP/1.1 $status\\r\\nX-Celeryspool-Not-Executed: 1\\r\\nContent-Length: 0\\r\\n\\r\\n" 2
    before=$(grep -c '^extra ' "$RECORD")
    calls "${status%% *}" "$ROUNDS"
    extra "" 1
    extras=$(($(grep -c '^extra ' "$RECORD") - before))
    expect "${status%% *}: extra answers were sent ($extras)" [ "$extras" -ge 20 ]
    check "${status%% *}" strike flag read review
done
# A rejection without Not-Executed, and a second answer: they belong to no request either.
extra "HTTP/1.1 503 Service Unavailable\\r\\nContent-Length: 0\\r\\n\\r\\n" 2
calls bare "$ROUNDS"
check bare strike flag read review
extra "HTTP/1.1 200 OK\\r\\nX-Celeryspool-Server-Signature: sig.x\\r\\nContent-Length: 5\\r\\n\\r\\nwrong" 2
calls wrong "$ROUNDS"
check wrong strike flag read review
expect "no caller gets an answer that is not its own" [ "$(cat "$OUT"/call-* | grep -c wrong)" = 0 ]
# A rejection that is cut off in its head, so that the head of the answer that follows looks like a part of it.
extra "HTTP/1.1 503 Service Unavailable\\r\\nX-Celeryspool-Not-Executed: 1\\r\\nX-Rest: " 2
ALL=0
calls joined "$ROUNDS"
check joined strike flag read review
finish
