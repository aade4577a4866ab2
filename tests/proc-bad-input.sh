#!/usr/bin/env bash
# Guards against a caller whose bad requests take a daemon down for all callers,
# or whose error responses don't name the fault. Sends malformed and oversized
# bodies, bad UTF-8, missing keys, many headers, slow and half-closed
# connections. Each must get a clear JSON error or a closed connection, and the
# daemon must keep serving.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 2 1 || exit 1
ADDR=$(daemon_addr 1)
KEY='Authorization: Bearer key-1'
post() { curl -s -o "$OUT/body" -w '%{http_code}' --max-time 5 -X POST -H "$KEY" "$@" "http://$ADDR/v1/chat/completions"; }
expect_error() { # expect_error WHAT STATUS TEXT CURL-OPTIONS…
    local what=$1 status=$2 text=$3 got
    shift 3
    got=$(post "$@")
    expect "$what: $got" [ "$got" = "$status" ]
    expect "  its body contains $text" grep -q "$text" "$OUT/body"
}
expect_error "not JSON" 400 'at byte' -d '{"model":'
expect_error "no messages" 400 'messages is missing' -d '{"model":"moderation"}'
expect_error "a message without content" 400 'messages\[0\].content' -d '{"model":"moderation","messages":[{"role":"user"}]}'
expect_error "a repeated field" 400 'duplicate' -d '{"model":"a","model":"b"}'
printf '{"model":"moderation","messages":[{"role":"user","content":"\xff\xfe"}]}' >"$OUT/utf8"
expect_error "bad UTF-8" 400 'UTF-8' --data-binary "@$OUT/utf8"
expect_error "an unknown model" 404 'unknown_model' -d '{"model":"x","messages":[{"role":"user","content":"c"}]}'
expect_error "a resume of another workspace" 400 'Last-Event-ID' -H 'Last-Event-ID: abc.1' -d '{"model":"moderation","stream":true,"messages":[{"role":"user","content":"c"}]}'
expect_error "a deadline that is not a number" 400 'X-Deadline-Ms' -H 'X-Deadline-Ms: soon' -d '{"model":"moderation","messages":[{"role":"user","content":"c"}]}'
head -c 2000000 /dev/zero | tr '\0' 'a' >"$OUT/big"
expect_error "a body of 2 MB" 413 'body_too_large' --data-binary "@$OUT/big"
got=$(curl -s -o "$OUT/body" -w '%{http_code}' -X POST -d '{}' "http://$ADDR/v1/chat/completions")
expect "no key: $got" [ "$got" = 401 ]
got=$(curl -s -o "$OUT/body" -w '%{http_code}' -X DELETE "http://$ADDR/v1/chat/completions")
expect "another method: $got" [ "$got" = 405 ]
got=$(curl -s -o "$OUT/body" -w '%{http_code}' "http://$ADDR/admin/v1/config" -H "$KEY")
expect "a caller's key is not an operator's: $got" [ "$got" = 401 ]
many_headers=()
for ((i = 0; i < 400; i++)); do many_headers+=(-H "X-Flood-$i: $(printf 'x%.0s' {1..200})"); done
got=$(post "${many_headers[@]}" -d '{}')
expect "400 headers: $got" [ "$got" = 431 -o "$got" = 413 -o "$got" = 000 -o "$got" = 400 ]
rss() { awk '/VmRSS/{print $2}' "/proc/${PIDS[router-1]}/status"; }
before=$(rss)
port=${ADDR##*:}
for ((i = 0; i < 200; i++)); do # half-closed and slow senders
    (exec 3<>"/dev/tcp/127.0.0.1/$port" && printf 'POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{"mod' >&3) 2>/dev/null
done
for ((i = 0; i < 50; i++)); do head -c 300 /dev/urandom 2>/dev/null | timeout 1 bash -c "cat >/dev/tcp/127.0.0.1/$port" 2>/dev/null; done
load -o "targets=$ADDR" -o rate=30 -o seconds=2 -w "$OUT/load.json"
expect_complete_answers "$OUT/load.json"
expect "it keeps serving: $(get "$OUT/load.json" total.done) done" [ "$(get "$OUT/load.json" total.done)" -gt 30 ]
grown=$(($(rss) - before))
expect "memory grew by $grown KiB" [ "$grown" -lt 40000 ]
sed "s/^peer = .*/peer = $(peer_addr 9)/" "$OUT/router-1.ini" >"$OUT/same.ini"
run same "$BUILD/celeryspoold" -s "$OUT/same.ini"
sleep 1
expect "a second daemon on the same address waits" kill -0 "${PIDS[same]}"
expect "and names the address" grep -q "event=address-unavailable for=callers addr=$ADDR why=\"Address already in use\"" "$OUT/same.log"
expect "it has not started" [ "$(grep -c 'Listening on' "$OUT/same.log")" = 0 ]
for ((i = 0; i < 20; i++)); do post -d '{"model":'; done >/dev/null
expect "it takes no request of the first one" [ "$(grep -c . "$OUT/same.log")" = 1 ]
stop same
expect "a daemon that waits ends with 0 on SIGTERM" [ $? = 0 ]
sed "s/^http = .*/http = 192.0.2.1:81o1/" "$OUT/same.ini" >"$OUT/wrong.ini"
"$BUILD/celeryspoold" -s "$OUT/wrong.ini" 2>"$OUT/wrong.log"
expect "an address that is none exits with 3" [ $? = 3 ]
"$BUILD/celeryspoold" -s README.md 2>"$OUT/settings.log"
expect "bad settings exit with 3" [ $? = 3 ]
finish
