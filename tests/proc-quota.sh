#!/usr/bin/env bash
# Guards against a workspace that exceeds its limit by spreading requests over
# several daemons, and against rejections without a Retry-After time.
. "$(dirname "$0")/relay-lib.sh"
# wait_config RELAY VERSION: waits until the relay has adopted the configuration
wait_config() {
    local try
    for ((try = 0; try < 50; try++)); do
        curl -s --max-time 1 "http://$(metrics_addr "$1")/metrics" | grep -q "^celeryspool_config_version $2$" && return 0
        sleep 0.1
    done
    return 1
}
# put_config FILE
put_config() { post_admin object/config/main "@$1"; }

start_platform 2 2 && start_relays 2 || exit 1
limited_config 2 requests 5 10 >"$OUT/config.json" && put_config "$OUT/config.json"
for i in 1 2; do wait_config $i 2 || exit 1; done
sleep 2.5 # until both daemons know each other and the bucket is full

for i in $(seq 1 40); do request_status $((i % 2 + 1)) /read/x "${KEY1[@]}"; done >"$OUT/statuses"
ran=$(grep -c 200 "$OUT/statuses")
refused=$(grep -c 429 "$OUT/statuses")
expect "the burst runs ($ran)" [ "$ran" -ge 8 ]
expect "what exceeds the limit over both daemons is refused ($refused)" [ "$refused" -ge 10 ]
expect "no other status was returned" [ $((ran + refused)) = 40 ]
expect "another workspace is served" [ "$(request_status 1 /read/x -H 'Authorization: Token key2')" = 200 ]
expect "an open route has no limit" [ "$(request_status 1 /open/x)" = 200 ]
send_request 1 /read/x "${KEY1[@]}" -D "$OUT/head" >/dev/null
if grep -q '^HTTP/1.1 429' "$OUT/head"; then
    expect "a refusal has a Retry-After time" grep -qiE '^Retry-After: [0-9.]+' "$OUT/head"
fi
expect "a refusal is logged" grep -q 'part=quota event=exceeded .*workspace=ws1' "$OUT/relay-1.log"
curl -s --max-time 2 "http://$(metrics_addr 1)/metrics" >"$OUT/metrics"
expect "metrics name the workspace" grep -q 'quota_refused_total{workspace="ws1"} [1-9]' "$OUT/metrics"

limited_config 3 tokens 2000 3000 >"$OUT/config.json" && put_config "$OUT/config.json"
for i in 1 2; do wait_config $i 3 || exit 1; done
sleep 2
for i in 1 2 3 4; do request_status 1 /review/x "${KEY1[@]}" "${LLM_HEADERS[@]}" -d body; done >"$OUT/statuses"
expect "tokens are counted, prompt and output" grep -q 429 "$OUT/statuses"
expect "the first is within the limit" [ "$(head -1 "$OUT/statuses")" = 200 ]
relay_config 4 >"$OUT/config.json" && put_config "$OUT/config.json"
for i in 1 2; do wait_config $i 4 || exit 1; done
for i in $(seq 1 20); do request_status 1 /read/x "${KEY1[@]}"; done >"$OUT/statuses"
expect "a removed limit no longer applies" [ "$(grep -c 200 "$OUT/statuses")" = 20 ]
finish
