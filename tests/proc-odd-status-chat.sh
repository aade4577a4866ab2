#!/usr/bin/env bash
# Guards against odd statuses, broken heads and parts of answers that reach callers of
# the own interface, or that hold them, when one of two engines answers so.
. "$(dirname "$0")/proc-lib.sh"
KINDS="status-000 status-0200 status-20 status-999 part-reset part-closed length-reset chunks-reset coding-less coding-events line-lf line-cr value-control chunk-short length-short length-letter name-blank"
CHATS=12
AT_ONCE_MS=4000
start_store && start_service && start_engines 1 && start_daemons 1 || exit 1
run engine-2 "$BUILD/fake-garbage" --listen "$(engine_addr 2)" --id engine-2 --kind status-000
sleep 0.2
declare_all 2 moderation && wait_generation 1 || exit 1

# chat NAME STREAM N: "STATUS CURL_EXIT MS" goes to a file, the answer to another
chat() {
    local begun file="$OUT/$1-$2-$3"
    begun=$(now_ms)
    curl -s --max-time 8 -o "$file.body" -w '%{http_code}' -H 'Authorization: Bearer key-0' \
        -d "{\"model\":\"moderation\",\"stream\":$2,\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"prompt $3 of $1\"}]}" \
        "http://$(daemon_addr 1)/v1/chat/completions" >"$file"
    echo " $? $(($(now_ms) - begun))" >>"$file"
}
for kind in $KINDS; do
    curl -s -o /dev/null --max-time 2 "http://$(engine_addr 2)/garbage/$kind"
    CALLS=()
    for stream in false true; do
        for ((n = 1; n <= CHATS; n++)); do
            chat "$kind" $stream $n &
            CALLS+=($!)
        done
    done
    wait "${CALLS[@]}"
    files=()
    for stream in false true; do for ((n = 1; n <= CHATS; n++)); do files+=("$OUT/$kind-$stream-$n"); done; done
    expect "$kind: every caller has a whole answer or a failure ($(cut -d' ' -f1,2 "${files[@]}" | sort | uniq -c | xargs))" \
        [ "$(grep -lE '^(200|50[0234]) 0 ' "${files[@]}" | wc -l)" = $((2 * CHATS)) ]
    expect "$kind: half of them an answer at least" [ "$(grep -lE '^200 0 ' "${files[@]}" | wc -l)" -ge $CHATS ]
    expect "$kind: no part of the other engine's answer reaches a caller" [ "$(cat "${files[@]/%/.body}" | grep -cE 'wrong|0123456789')" = 0 ]
    expect "$kind: nobody is held ($(cut -d' ' -f3 "${files[@]}" | sort -n | tail -1) ms)" [ "$(cut -d' ' -f3 "${files[@]}" | sort -n | tail -1)" -lt $AT_ONCE_MS ]
done
asked=$(grep -c '^closed kind=' "$OUT/engine-2.log")
expect "the other engine was asked ($asked times at least)" [ "$asked" -ge 8 ]
finish
