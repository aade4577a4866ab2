#!/usr/bin/env bash
# Guards against explanations that differ from what requests meet, that change the
# daemon's state or reach a server, and against access keys in answers.
. "$(dirname "$0")/relay-lib.sh"
metrics() { curl -s --max-time 2 "http://$(metrics_addr 1)/metrics"; }
# explain [OPTION…]: celeryspoolctl against the first daemon
explain() { "$BUILD/celeryspoolctl" explain --metrics "$(metrics_addr 1)" "$@"; }
# read_llm: an explanation of a request for the engines, as JSON
read_llm() { explain --json --host a.example --path /review/x --key key1 --model m1 --tokens 1460,80 --parts dd:800,ee:410,ff:250; }
# field FILE EXPRESSION: a value of an answer, the answer being `a`
field() { python3 -c 'import json,sys; a=json.load(open(sys.argv[1])); v=eval(sys.argv[2]); print(v)' "$@"; }
# post_head STATUS_FILE: standard input is the head; prints the answer
post_head() { curl -s --max-time 2 -w '%{stderr}%{http_code}' --data-binary @- "http://$(metrics_addr 1)/explain" 2>"$1"; }
# wait_metric PATTERN
wait_metric() {
    local n
    for ((n = 0; n < 100; n++)); do
        metrics | grep -qE "$1" && return 0
        sleep 0.05
    done
    return 1
}
# steady_state: the metrics that do not change with time alone.  The daemon's own calls
# to the store and to follow the servers' caches open connections.
steady_state() { metrics | grep -vE 'ms_ago|quota_left|retries_left|store_calls_total|server_connections_total'; }

start_platform 3 2 || exit 1
limited_config 2 requests 1000 1000 | sed 's/"timeout_ms":8000/"timeout_ms":45000/; s/"key1"/"key1","secret-key"/; s/{"name":"ws2"/&,"unit":"requests","rate_per_s":0.5,"burst":1/' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 && wait_metric '^celeryspool_config_version 2$' || exit 1
wait_metric '^celeryspool_quota_left\{workspace="ws1"\} [0-9]' || exit 1
sleep 2.2 # until a host that is alone has its whole part of the limits

# explained_as EXPRESSION: waits until an explanation fulfils it
explained_as() {
    local n
    for ((n = 0; n < 60; n++)); do
        read_llm >"$OUT/llm.json"
        [ "$(field "$OUT/llm.json" "$1")" = True ] && return 0
        sleep 0.05
    done
    return 1
}
# call ID PARTS: a request for the engines without a deadline of its own; to be run in
# the background, where its process is that of curl
call() {
    exec curl -s -o /dev/null --max-time 60 -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $1" "${KEY1[@]}" -H 'X-Celeryspool-Model: m1' \
        -H 'X-Celeryspool-Token-Usage: 1460,80' -H "X-Celeryspool-Prompt-Prefix: $2" -d body "http://$(relay_addr 1)/review/x"
}
# hold ID: a stream that holds a slot until `release`; goes where its prefix is held
hold() {
    call "$1" aa:800,bb:410,cc:250 &
    HOLDERS+=($!)
    wait_record "run .*Attempt-Id=$1 " 4
}

release() {
    kill "${HOLDERS[@]}"
    wait "${HOLDERS[@]}"
    HOLDERS=()
    wait_metric '^celeryspool_requests_running 0$'
}

# Engine e3 drains.  Eight streams with one prefix hold all slots of one of the other
# two; then the last one is idle, and the only one with a free slot.
for s in e1 e2 e3; do engine $s '{"events":400,"gap_ms":100}'; done
engine e3 '{"draining":true}'
expect "the daemon knows what drains" explained_as "sorted(s['server'] for s in a['servers']) == ['e1', 'e2']"
for n in 1 2 3 4 5 6 7 8; do
    hold "holder$n"
    sleep 0.1 # until the prompt has been prefilled
done
expect "one engine has eight streams, the other none" explained_as "sorted(s['in_flight'] for s in a['servers']) == [0, 8]"
idle=$(field "$OUT/llm.json" "[s['server'] for s in a['servers'] if s['in_flight'] == 0][0]")
busy=$([ "$idle" = e1 ] && echo e2 || echo e1)
read_llm >"$OUT/llm.json"
call sent dd:800,ee:410,ff:250 &
sent=$!
wait_record 'run .*Attempt-Id=sent ' 4
cp "$OUT/llm.json" "$OUT/loaded.json"
expect "the verdict is to send ($(field "$OUT/llm.json" "a['verdict']"))" [ "$(field "$OUT/llm.json" "a['verdict']['decision']")" = send ]
expect "the choice is the idle server" [ "$(field "$OUT/llm.json" "a['choice']")" = "$idle" ]
expect "the loaded server has its requests in flight and costs more" [ "$(field "$OUT/llm.json" "[(s['server'],s['in_flight']) for s in a['servers']]")" = "[('$idle', 0), ('$busy', 8)]" ]
expect "the draining server is excluded as such" [ "$(field "$OUT/llm.json" "[(s['server'],s['why']) for s in a['excluded']]")" = "[('e3', 'draining')]" ]
expect "route, service and workspace are named" [ "$(field "$OUT/llm.json" "(a['route'],a['service'],a['workspace'])")" = "('review', 'llm', 'ws1')" ]
expect "half of the maximum is the expected output" [ "$(field "$OUT/llm.json" "a['expected_output_tokens']")" = 40.0 ]
expect "a request goes to the explained server" grep -q "part=place event=chosen id=sent server=$idle " "$OUT/relay-1.log"
expect "it ran there" [ "$(grep 'run .*Attempt-Id=sent ' "$RECORD" | grep -c "\b$idle\b")" = 1 ]
HOLDERS+=("$sent")
release
sleep 1.5 # until reports of load have expired

# 50 explanations change nothing.  The buckets are only refilled.
explain --json --host a.example --path /read/x --key key2 >"$OUT/before.json"
steady_state >"$OUT/metrics-before"
cp "$RECORD" "$OUT/record-before"
for n in $(seq 1 25); do
    read_llm >"$OUT/last.json"
    explain --host a.example --path /read/x --key key2 >"$OUT/last.txt"
done
steady_state >"$OUT/metrics-after"
expect "no metric changes by 50 explanations" diff "$OUT/metrics-before" "$OUT/metrics-after"
explain --json --host a.example --path /read/x --key key2 >"$OUT/after.json"
expect "no quota is spent" [ "$(field "$OUT/after.json" "a['limit']['left'] >= $(field "$OUT/before.json" "a['limit']['left']")")" = True ]
expect "nothing reaches a server" diff <(grep 'run ' "$OUT/record-before") <(grep 'run ' "$RECORD")
expect "no record of a placement is written" [ "$(grep -c 'event=chosen id=explained' "$OUT/relay-1.log")" = 0 ]
expect "the table begins with choice and verdict" [ "$(head -2 "$OUT/last.txt" | cut -d: -f1 | xargs)" = "choice verdict" ]
expect "a plain server is listed without engine fields" grep -q '^p[12] ' "$OUT/last.txt"
expect "and its header has none" [ "$(grep -c 'prefill_ms' "$OUT/last.txt")" = 0 ]

# Admission by priority: with all slots taken a less urgent request waits for room.
sed 's/"version":2/"version":3/; s/\(\/flag\/","kind":"streaming","timeout_ms":3000,"target_latency_ms":\)1000/\1200/' "$OUT/config-2.json" >"$OUT/config-3.json"
post_admin object/config/main "@$OUT/config-3.json"
wait_metric '^celeryspool_config_version 3$'
expect "requests are admitted by priority" explained_as "a['admission_by_priority']"
expect "without a state of the service the request is sent" [ "$(field "$OUT/llm.json" "a['verdict']['decision']")" = send ]
engine "$idle" '{"draining":true}'
expect "one engine is left" explained_as "[s['server'] for s in a['servers']] == ['$busy']"
for n in 1 2 3 4 5 6 7; do hold "full$n"; done
expect "no slot is kept for more urgent requests, of which there are none" explained_as "a['servers'][0]['reserve'] == 0"
hold full8
expect "it has no room" explained_as "a['servers'][0]['in_flight'] == 8 and not a['servers'][0]['has_room']"
admission() { metrics | grep 'celeryspool_admission{'; }
admission >"$OUT/admission-before"
for n in 1 2 3 4 5 6 7 8 9 10; do read_llm >"$OUT/full.json"; done
expect "a request would wait for room" [ "$(field "$OUT/full.json" "(a['verdict']['decision'],a['verdict']['why'])")" = "('wait', 'no-room')" ]
expect "explanations are not counted as admitted, waiting or rejected" diff "$OUT/admission-before" <(admission)
waited() { admission | sed -n 's/.*class="1",verdict="waited"} //p'; }
waited_before=$(waited)
call late dd:800,ee:410,ff:250 &
HOLDERS+=($!)
wait_line "$OUT/relay-1.log" 'event=(chosen|no-room) id=late ' 2
expect "a request waits for room" [ "$(waited)" = $((${waited_before:-0} + 1)) ]
release

# A workspace over its limit: ws2 has one request.
expect "the limit allows the first request" [ "$(request_status 1 /read/x "${KEY2[@]}")" = 200 ]
explain --json --host a.example --path /read/x --key key2 >"$OUT/over.json"
expect "the explanation is 429" [ "$(field "$OUT/over.json" "(a['verdict']['status'],a['verdict']['why'],a['limit']['allowed'])")" = "(429, 'quota', False)" ]
expect "with the time to return" [ "$(field "$OUT/over.json" "a['verdict']['retry_after_ms'][0] > 0")" = True ]
expect "a request is answered so" [ "$(request_status 1 /read/x "${KEY2[@]}")" = 429 ]

explain --json --host b.example --path /read/x --key key1 >"$OUT/route.json"
expect "an unknown route is 404" [ "$(field "$OUT/route.json" "(a['verdict']['status'],a['verdict']['why'])")" = "(404, 'no-route')" ]
explain --json --host a.example --path /read/x --key wrong-secret >"$OUT/key.json"
expect "an unknown key is 401" [ "$(field "$OUT/key.json" "a['verdict']['status']")" = 401 ]
explain --json --host a.example --path /read/x --key secret-key >"$OUT/secret.json"
expect "a valid key is known" [ "$(field "$OUT/secret.json" "a['workspace']")" = ws1 ]
expect "no answer or record has a key" [ "$(cat "$OUT"/*.json "$OUT/relay-1.log" | grep -v access_keys | grep -c 'secret')" = 0 ]

printf 'POST /read/x HTTP/1.1\nHost: a.example\nX-Celeryspool-Token-Usage: many\n\n' | post_head "$OUT/status" >"$OUT/bad.json"
expect "a bad head is 400" [ "$(cat "$OUT/status")" = 400 ]
expect "the error names line and field" [ "$(field "$OUT/bad.json" "(a['error']['line'],a['error']['field'])")" = "(3, 'X-Celeryspool-Token-Usage')" ]
printf 'POST /read/x HTTP/1.1\n\n' | post_head "$OUT/status" >"$OUT/bad.json"
expect "a head without a host is 400 ($(field "$OUT/bad.json" "a['error']['message']"))" [ "$(cat "$OUT/status")" = 400 ]
{ printf 'POST /read/x HTTP/1.1\nHost: a.example\nX-Long: '; head -c 5000 /dev/zero | tr '\0' x; } | post_head "$OUT/status" >/dev/null
expect "a head over the configured limit is not read" [ "$(cat "$OUT/status")" = 413 ]
expect "GET is not allowed" [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$(metrics_addr 1)/explain")" = 405 ]
explain --host a.example --deadline soon >/dev/null 2>"$OUT/errors"
expect "the tool names a bad option's header" grep -q 'Deadline-Milliseconds: must be a positive number' "$OUT/errors"
printf 'POST /read/x HTTP/1.1\nHost: a.example\nno colon\n' >"$OUT/head"
explain "$OUT/head" >/dev/null 2>"$OUT/errors"
expect "the tool names the line of a file" grep -q 'line 3: name: ' "$OUT/errors"
finish
