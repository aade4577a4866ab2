#!/usr/bin/env bash
# Guards against streams that are not taken up any more once a configuration leads their path over another route.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1
for id in e1 e2 e3 e4; do engine $id '{"events":60,"gap_ms":60}'; done

# with_route VERSION PREFIX: the configuration with one more route, as /review/ otherwise
with_route() {
    relay_config "$1" | sed "s#{\"name\":\"review\",\"host\":\"a.example\",\"path_prefix\":\"/review/\"\(.*\)\$#&\n {\"name\":\"review-long\",\"host\":\"a.example\",\"path_prefix\":\"$2\"\1#"
}

clients moved 8 2 --path /review/long/s --leave-after 45 --retries 5
sleep 1.5
with_route 2 /review/long/ >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
wait_clients
expect "all hosts have the route" [ "$(grep -l 'event=adopted.*version=2' "$OUT"/relay-*.log | wc -l)" = 3 ]
expect_versions moved
expect_begun moved
expect_taken_up moved 12
finish
