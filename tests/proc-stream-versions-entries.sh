#!/usr/bin/env bash
# Guards against streams that go on at a server whose version is not known, or is another since it started again.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1

# Servers are replaced one by one under their ids: each is down for 0, 100, 400 or 800 ms and has
# another version then.
clients replaced 7 11 --leave-after 30
for change in e1:v1.2:0 e3:v1.1:400 e2:v1.2:100 e4:v1.1:0 e1:v1.3:800; do
    IFS=: read -r id version ms <<<"$change"
    sleep 2
    engine "$id" "{\"software\":\"$version\",\"restart\":$ms}"
done
wait_clients
expect_versions replaced
expect_begun replaced
expect_taken_up replaced 12

# Two servers name no version: what they began may go on at no other.
for id in e1 e2; do engine $id '{"software":null,"restart":0}'; done
sleep 1.5
clients unnamed 7 6
for ((n = 0; n < 2; n++)); do
    sleep 3
    for id in e1 e2 e3 e4; do engine $id '{"end_streams":0.5}'; done
done
wait_clients
expect_versions unnamed
expect_begun unnamed
expect "unnamed: streams of e3 and e4 go on ($(figure unnamed moved_inside) inside)" [ "$(figure unnamed moved_inside)" -ge 4 ]
expect "unnamed: those that cannot end within a second ($(figure unnamed broken_wait_ms) ms)" [ "$(figure unnamed broken_wait_ms)" -le 1200 ]
expect "unnamed: none ends at its deadline ($(figure unnamed late))" [ "$(figure unnamed late)" = 0 ]

# A server is replaced while the store is down, so that no host can know its version.
for id in e1 e2; do engine $id '{"software":"v1.1","restart":0}'; done
sleep 1.5
clients unseen 7 6
sleep 2
post_admin store '{"down":true}'
engine e1 '{"software":"v1.2","restart":400}'
sleep 1.5
for id in e2 e3 e4; do engine $id '{"end_streams":0.5}'; done
sleep 1
post_admin store '{"down":false}'
wait_clients
expect "unseen: no event is missing or comes twice ($(figure unseen order_errors))" [ "$(figure unseen order_errors)" = 0 ]
expect_begun unseen
expect "unseen: nearly all are complete ($(figure unseen complete) of $(figure unseen begun))" \
    [ $(($(figure unseen complete) * 10)) -ge $(($(figure unseen begun) * 8)) ]
echo "  unseen: $(figure unseen mixed) of $(figure unseen begun) have events of two versions"
finish
