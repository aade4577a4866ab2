#!/usr/bin/env bash
# Guards against the copy of a rejection, taken for the answer to the same request when it comes to the same connection again.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
ROUNDS=${ROUNDS:-12}
RETRY_SLACK=4000
# Entries that name the address of another server, as while one that has started again is listed twice.
FORMER=8
for ((i = 1; i <= FORMER; i++)); do
    EXTRA_SERVERS+=(--server "former-p$i,desk,$(server_addr $((30 + i))),dc-a,plain,$(server_addr $((21 + i % 2)))"
        --server "former-e$i,llm,$(server_addr $((60 + i))),dc-a,engine,$(server_addr $((1 + i % 2)))")
done
start_platform 2 2 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start
for server in e1 e2 p1 p2; do engine $server '{"copy_rejections":true}'; done

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
            for kind in strike flag read review; do call $host /$kind/x "$1-$kind-$round-$host"; done
        done
        wait "${CALLS[@]}"
    done
}
# check KIND…: rejected after a run, run twice although it may run once
check() {
    local kind sent served refused twice file id
    for kind in "$@"; do
        served=0 refused=0 twice=0 sent=0
        for file in "$OUT"/call-listed-$kind-*; do
            id=${file##*/call-}
            sent=$((sent + 1))
            case $(tail -1 "$file") in
            200) served=$((served + 1)) ;;
            408 | 421 | 429 | 503) [ "$(count_runs "$id")" = 0 ] || refused=$((refused + 1)) ;;
            esac
            [ "$(count_runs "$id")" -le 1 ] || twice=$((twice + 1))
        done
        expect "$kind: none that was refused has run ($refused of $sent)" [ $refused = 0 ]
        case $kind in strike | flag) expect "$kind: none ran twice ($twice of $sent)" [ $twice = 0 ] ;; esac
        expect "$kind: most are served ($served of $sent)" [ $((served * 2)) -ge "$sent" ]
    done
}
calls listed "$ROUNDS"
copies=$(grep -c '^copy ' "$RECORD")
former=$(cat "$OUT"/relay-*.log | grep 'send-failed' | grep -c 'server=former')
expect "requests came to the address of a former entry ($former)" [ "$former" -ge 20 ]
expect "no request came to a connection that had carried it ($copies)" [ "$copies" = 0 ]
check strike flag read review
finish
