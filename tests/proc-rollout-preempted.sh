#!/usr/bin/env bash
# Guards against an answer from parts that newer weights made under the salt of older ones.
. "$(dirname "$0")/relay-lib.sh"
KEPT=$(server_addr 40)
EVENTS=110

# Engines e1 and e2 and a kv store; reviews may take long.
kept_config() {
    relay_config "$1" | sed -e 's/"timeout_ms":[38]000/"timeout_ms":30000/' \
        -e "s/\"services\":\[/&{\"name\":\"kept\",\"cache_store_address\":\"$KEPT\",\"zone\":\"dc-a\",\"cache_capacity\":90000},/"
}
EXTRA_SERVERS=(--server "kept,kept,$KEPT,dc-a,kv")
start_platform 2 2 || exit 1
kept_config 2 >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 || exit 1
sleep 2.5 # a daemon makes no retries and follows no caches just after its start

# stream PATH NAME: sends a request whose shared parts are those of all others; its answer goes to $OUT/NAME
stream() {
    curl -s --max-time 30 -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $2" -H 'X-Celeryspool-Deadline-Milliseconds: 30000' \
        "${KEY2[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: ${SHARED:-aa:800,bb:410},$2:250" -d x \
        "http://$(relay_addr 1)/$1/$2" >"$OUT/$2" &
}
publish() { post_admin object/versions/m1 "{\"model\":\"m1\",\"version\":$1}"; }
tokens() { grep -c token- "$OUT/$1"; }

# run_older NAME ADDR: e2 runs a request on its present weights that has still to fetch from an address
run_older() {
    sleep 1.7 # parts of requests that e2 has rejected no longer count as pending there
    engine e1 '{"mode":"shed"}'
    engine e2 '{"mode":"well","hold_fetches":true,"refuse_orders":true}'
    stream review "$1"
    expect "$1 runs at e2 and fetches from $2" wait_record "^run server=e2 uri=/review/$1 .*Fetch-From=$2" 3
    engine e1 '{"mode":"well"}'
}
# end_case VERSION NAMES…: e2 fetches, both engines load, all requests end
end_case() {
    local version=$1 name
    shift
    engine e2 '{"hold_fetches":false}'
    sleep 0.3
    engine e2 '{"refuse_orders":false}'
    wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
    for name in "$@"; do expect "$name is complete" [ "$(tokens "$name")" = $EVENTS ]; done
    expect "e1 loads version $version" wait_record "^loaded server=e1 version=$version" 15
    expect "e2 loads version $version" wait_record "^loaded server=e2 version=$version" 15
    expect "no prompt is prefilled again by other weights" \
        [ "$(grep '^prefilled-again' "$RECORD" | awk '{split($4,a,"=");split($5,b,"=")} a[2]!=b[2]' | wc -l)" = 0 ]
    expect "no answer from parts of other weights" [ "$(grep -c '^stale' "$RECORD")" = 0 ]
}
for e in e1 e2; do engine $e "{\"events\":$EVENTS,\"gap_ms\":50}"; done

echo "  a request is preempted before the load, its parts are fetched from its server"
engine e2 '{"mode":"shed"}'
stream review a1
expect "a1 runs at e1" wait_record '^run server=e1 uri=/review/a1 ' 3
engine e1 '{"preempt":1}'
run_older b1 "$(server_addr 1)"
publish 2
wait_record '^loaded server=e1 version=2' 4
engine e1 '{"readmit":true}'
end_case 2 a1 b1

echo "  a request is preempted after the load, when a more urgent one has arrived"
engine e2 '{"mode":"shed"}'
stream review a2
expect "a2 runs at e1" wait_record '^run server=e1 uri=/review/a2 ' 3
run_older b2 "$(server_addr 1)"
publish 3
expect "e1 loads while a2 goes on" wait_record '^loaded server=e1 version=3' 4
expect "the daemon knows it" wait_line "$OUT/relay-1.log" \
    'event=(loaded server=e1 version=3|(ready|reported) server=e1 .*weights=3)' 4
engine e2 '{"mode":"shed"}'
stream flag c2
expect "c2 runs at e1" wait_record '^run server=e1 uri=/flag/c2 ' 3
engine e1 '{"preempt":1}'
sleep 0.2
engine e1 '{"readmit":true}'
end_case 3 a2 b2 c2

echo "  a request is preempted before the load, its parts are fetched from the kv store"
engine e2 '{"mode":"shed"}'
SHARED=dd:800,ee:410
stream review a3
expect "a3 runs at e1 and saves its parts" wait_record '^run server=e1 uri=/review/a3 ' 3
sleep 1.5
engine e1 '{"preempt":1,"forget":true}'
engine kept '{"forget":true}'
sleep 1.5 # the relay learns that the parts are gone
run_older b3 "$KEPT"
publish 4
wait_record '^loaded server=e1 version=4' 4
engine e1 '{"readmit":true}'
end_case 4 a3 b3
finish
