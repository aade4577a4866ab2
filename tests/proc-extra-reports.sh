#!/usr/bin/env bash
# Guards against answers without an id in front of reports, orders, health checks and cache events, taken for theirs for long.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1
SERVERS=(e1 e2 e3 e4 p1)
for id in e1 e2 e3 e4; do engine $id '{"gap_ms":20}'; done

# extra PATH EVERY TEXT: before answers on kept connections
extra() {
    local id
    for id in "${SERVERS[@]}"; do engine "$id" "{\"extra_answer\":\"$3\",\"extra_path\":\"$1\",\"extra_every\":$2}"; done
}
count() { grep -cE "$1" "$RECORD"; }
# play NAME PATH EVERY TEXT VERSION: a rollout and streams that break off beside extra answers
play() {
    local name=$1 before n done_ms begin id orders
    before=$(count '^extra ')
    orders=$(count '^order .* status=202 ')
    extra "$2" "$3" "$4"
    clients "$name" 8 2
    sleep 0.8
    for id in e1 e3; do engine $id '{"end_streams":0.5}'; done
    post_admin object/versions/m1 "{\"model\":\"m1\",\"version\":$5}"
    begin=$(now_ms)
    for ((n = 0; n < 160; n++)); do
        [ "$(count "^loaded .* version=$5\$")" -ge 4 ] && break
        sleep 0.05
    done
    done_ms=$(($(now_ms) - begin))
    wait_clients
    extra "" 1 ""
    expect "$name: weights are rolled out beside $(($(count '^extra ') - before)) extra answers (after $done_ms ms)" [ "$(count "^loaded .* version=$5\$")" = 4 ]
    expect "$name: by one order a server ($(($(count '^order .* status=202 ') - orders)))" [ $(($(count '^order .* status=202 ') - orders)) = 4 ]
    expect_versions "$name"
    expect_begun "$name"
}
body() { echo "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${#1}\r\n\r\n${1//\"/\\\"}"; }
OLD=$(curl -s --max-time 2 "http://$(server_addr 1)/report")
expect "there is an older report" grep -q '"born"' <<<"$OLD"
play older /report 2 "$(body "$OLD")" 2
if [ "${ALL:-0}" = 1 ]; then
    play unavailable / 2 'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n' 3
    play accepted / 2 'HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n' 4
    play conflict / 2 'HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n' 5
fi
expect "no order came over a kept connection" [ "$(count '^extra .*uri=/order')" = 0 ]
echo "  extra answers before: $(grep -o '^extra .*uri=/[a-z_-]*' "$RECORD" | sed 's/.*uri=//' | sort | uniq -c | tr -s ' \n' ' ')"
echo "  silent $(cat "$OUT"/relay-*.log | grep -c 'event=silent'), weights taken back $(cat "$OUT"/relay-*.log | grep -c 'event=reported .*weights=1 ')"
for ((n = 0; n < 2; n++)); do request_status 1 /read/x "${KEY1[@]}"; request_status 2 /review/y "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x; done >"$OUT/after"
expect "all are served right after ($(grep -c 200 "$OUT/after") of 4)" [ "$(grep -c 200 "$OUT/after")" = 4 ]
finish
