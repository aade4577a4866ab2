#!/usr/bin/env bash
# Guards against answers too many in front of a chat's answer: a chat reported as not run that ran, and another chat's answer.
. "$(dirname "$0")/proc-lib.sh"
LINK_ADMIN=127.0.0.1:$((7600 + BASE))
CHATS=${CHATS:-24}
start_store && start_service && start_engines 2 && start_daemons 1 || exit 1
links=()
for i in 1 2; do links+=(--link "127.0.0.1:$((7600 + BASE + i)),$(engine_addr $i)"); done
run link "$BUILD/fake-link" --admin "$LINK_ADMIN" "${links[@]}"
true_addr() { echo "127.0.0.1:$((9100 + BASE + $1))"; }
engine_addr() { echo "127.0.0.1:$((7600 + BASE + $1))"; } # as the daemon sees it
declare_all 2 moderation && wait_generation 1 || exit 1

# extra TEXT BEFORE EVERY: prints how often extra answers were sent so far
extra() { curl -s --max-time 2 -d "{\"extra\":\"$1\",\"before\":\"$2\",\"every\":${3:-1}}" "http://$LINK_ADMIN/cut"; }
# chat N: prints the status, then the text of the answer to prompt N
chat() {
    curl -s --max-time 8 -w '\n%{http_code}' -H 'Authorization: Bearer key-0' \
        -d "{\"model\":\"moderation\",\"max_tokens\":6,\"messages\":[{\"role\":\"user\",\"content\":\"prompt $1 of its own\"}]}" \
        "http://$(daemon_addr 1)/v1/chat/completions" >"$OUT/raw-$2-$1"
    tail -1 "$OUT/raw-$2-$1"
    echo
    grep -o '"content": *"[^"]*"' "$OUT/raw-$2-$1" | head -1
}
# chats NAME: all prompts, six at a time
chats() {
    local n calls=()
    for ((n = 1; n <= CHATS; n++)); do
        chat $n "$1" >"$OUT/$1-$n" &
        calls+=($!)
        [ $((n % 6)) != 0 ] || { wait "${calls[@]}"; calls=(); }
    done
    [ ${#calls[@]} = 0 ] || wait "${calls[@]}"
}
# count_repeats: chats that engines have run more than once
count_repeats() {
    grep '"kind":"sent"' "$OUT/router-1.events" | sed 's/.*"request":"\([0-9a-f]*\)".*"sent":"\([0-9a-f]*\)".*/\2 \1/' | sort >"$OUT/sent"
    for i in 1 2; do truth "$(true_addr $i)" >"$OUT/engine-$i.json"; done
    grep -ohE '"[0-9a-f]{16,}"' "$OUT"/engine-[12].json | tr -d '"' | sort >"$OUT/executed"
    join "$OUT/sent" "$OUT/executed" | awk '{ n[$2]++ } END { for (r in n) twice += n[r] > 1; print twice + 0 }'
}
count_lies() { fake_check not-run "$OUT"/router-*.events -- "$OUT"/engine-[12].json 2>&1 | grep -o 'but was executed' | wc -l; }
# play NAME TEXT BEFORE EVERY: the same prompts beside extra answers
play() {
    local name=$1 n before extras repeats lies right=0 others=0 failed=0 odd=0
    repeats=$(count_repeats) lies=$(count_lies)
    before=$(extra "$2" "$3" "${4:-1}")
    chats "$name"
    extras=$(($(extra "" "") - before))
    repeats=$(($(count_repeats) - repeats)) lies=$(($(count_lies) - lies))
    for ((n = 1; n <= CHATS; n++)); do
        if cmp -s "$OUT/$name-$n" "$OUT/alone-$n"; then
            right=$((right + 1))
        elif [ "$(head -1 "$OUT/$name-$n")" != 200 ]; then
            failed=$((failed + 1))
        elif grep -lxF -- "$(tail -1 "$OUT/$name-$n")" "$OUT"/alone-* | grep -q .; then
            others=$((others + 1))
        else
            odd=$((odd + 1))
        fi
    done
    echo "  $name: $extras extra answers, $CHATS chats: $right right, $others with another's answer, $odd with an answer of none, $failed failed; $repeats ran more than once"
    expect "$name: no chat goes over a connection that has carried one ($extras)" [ "$extras" = 0 ]
    expect "$name: no chat is reported as not run and ran ($lies)" [ "$lies" = 0 ]
    expect "$name: no chat gets an answer that is not its own ($((others + odd)))" [ $((others + odd)) = 0 ]
}
for i in 1 2; do control "$(true_addr $i)" '{"step_ms":30}'; done # an answer takes longer than a copy
chats alone
expect "all are answered without extra answers" [ "$(cat "$OUT"/alone-* | grep -cx 200)" = "$CHATS" ]
expect "each in its own way" [ "$(cat "$OUT"/alone-* | grep content | sort -u | wc -l)" = "$CHATS" ]
play unavailable 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n' 'POST /v1/chat' 2
play conflict 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n' 'POST /v1/chat' 2
play bad 'HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n' 'POST /v1/chat' 2
finish
