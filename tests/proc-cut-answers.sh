#!/usr/bin/env bash
# Guards against a success with an empty or short body, framed as whole, after a server has stopped
# within its answer, at the host that the caller asked and at one that another host forwards to.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
RETRY_SLACK=4000
start_platform 4 4 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start
cut_host 1 reset
for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
wait_line "$OUT/relay-1.log" 'event=reach state=none' 5

HEAD='HTTP/1.1 200 OK\r\nX-Celeryspool-Attempt-Id: {id}\r\nX-Celeryspool-Server-Signature: sig.raw\r\n'
BODY='answer, whole, raw'
LENGTH="${HEAD}Content-Length: 18\r\n\r\n$BODY"
CHUNKS="${HEAD}Transfer-Encoding: chunked\r\n\r\n8\r\nanswer, \r\na;x=y\r\nwhole, raw\r\n0\r\nX-Sum: 1\r\n\r\n"
INTERIM="HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n$LENGTH"
STREAM="${HEAD}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
for i in 1 2 3 4 5 6 7 8; do STREAM+="15\r\nid: $i\ndata: token-$i\n\n\r\n"; done
STREAM+='0\r\n\r\n'

# raw TEXT LENGTH RESET: the command for an answer that ends after LENGTH bytes
raw() {
    local text=$(printf '%b' "$1" | head -c "$2" | od -An -v -tx1 | tr -d ' \n' | sed 's/../\\u00&/g')
    echo "{\"raw_answer\":\"$text\",\"raw_every\":3,\"raw_reset\":$3}"
}

# call HOST PATH ID: its answer and curl's status go to a file
call() {
    {
        ID=$3 send_request "$1" "$2" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$3:250" -d x
        echo "exit $?"
    } >"$OUT/call-$3" &
    CALLS+=($!)
}

# cut NAME SERVERS STEP TEXT PATH…: cuts off an answer after each STEP bytes
cut() {
    local name=$1 servers=$2 step=$3 text=$4 len at reset server host path n=0
    shift 4
    len=$(printf '%b' "$text" | wc -c)
    for ((at = 1; at < len; at += step)); do
        reset=$((at / step % 2 == 0))
        for server in $servers; do engine $server "$(raw "$text" $at $([ $reset = 1 ] && echo true || echo false))"; done
        CALLS=()
        for path in "$@"; do
            for host in 1 2 3; do call $host "$path" "$name-$((n += 1))"; done
        done
        wait "${CALLS[@]}"
    done
    for server in $servers; do engine $server '{"raw_answer":""}'; done
}
PLAIN='p1 p2 p3 p4'
cut length "$PLAIN" 7 "$LENGTH" /read/x /strike/x
cut chunks "$PLAIN" 7 "$CHUNKS" /read/x /strike/x
cut interim "$PLAIN" 9 "$INTERIM" /read/x /strike/x
cut stream 'e1 e2 e3 e4' 19 "$STREAM" /review/x /flag/x

whole() {
    case $1 in
    */call-stream-*) [ "$(sed -n 's/^id: //p' "$1" | tr -d '\n')" = 12345678 ] ;;
    *) grep -qE '^answer of p[0-9]$' "$1" ;;
    esac
}
short=0 good=0 refused_and_ran=0
for file in "$OUT"/call-*; do
    case "$(tail -2 "$file" | tr '\n' ' ')" in
    '200 exit 0 ') whole "$file" && good=$((good + 1)) || { short=$((short + 1)); echo "  short: $file"; } ;;
    '503 exit 0 ' | '429 exit 0 ') [ "$(count_runs "${file##*/call-}")" = 0 ] || refused_and_ran=$((refused_and_ran + 1)) ;;
    esac
done
calls=$(ls "$OUT"/call-* | wc -l)
cuts=$(grep -c '^raw ' "$RECORD")
forwarded=$(grep -c 'event=forwarded' "$OUT/relay-1.log")
twice=$(sed -n 's/^run .*uri=\/strike.*Attempt-Id=\([^ ]*\) .*/\1/p' "$RECORD" | sort | uniq -d | wc -l)
expect "answers were cut off ($cuts in $calls calls)" [ "$cuts" -ge $((calls / 8)) ]
expect "calls went over another host ($forwarded)" [ "$forwarded" -ge $((calls / 6)) ]
expect "no success has a short body ($short of $((short + good)))" [ $short = 0 ]
expect "most calls are served ($good of $calls)" [ $((good * 2)) -ge "$calls" ]
expect "no refused call has run ($refused_and_ran)" [ $refused_and_ran = 0 ]
expect "none that is not idempotent ran twice ($twice)" [ "$twice" = 0 ]
finish
