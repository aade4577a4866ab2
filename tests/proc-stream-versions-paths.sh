#!/usr/bin/env bash
# Guards against streams that change the software version when they are forwarded or taken up at a new host.
LINKED=1
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1

# A host is cut off from all servers; its streams go on through the others, of which one ends.
clients cut 8 10
sleep 3.5
cut_host 1 reset
sleep 2.5
for id in "${VERSION_1[@]}" "${VERSION_2[@]}"; do engine "$id" '{"end_streams":0.5}'; done
sleep 1
stop relay-2 KILL
sleep 1.5
cut_host 1 none
wait_clients
expect_versions cut
expect_begun cut
expect "cut: streams are forwarded ($(grep -c 'event=forwarded' "$OUT/relay-1.log"))" grep -q 'event=forwarded' "$OUT/relay-1.log"
expect_taken_up cut 6

start_relay 2
wait_for "http://$(ready_addr 2)/readiness"
wait_daemons $HOSTS
sleep 3.5

# Clients leave their streams and take them up at a host that starts meanwhile.
stop relay-3 KILL
clients fresh 8 8 --hosts "$(hosts 1 2)" --take-up-hosts "$(hosts 3)" --leave-after 12 --touch-from 5000
sleep 1
start_relay 3
wait_clients
expect_versions fresh
expect_begun fresh
expect_taken_up fresh 12
echo "  fresh: in all $(figure fresh went_on) of $(figure fresh taken_up) go on"
finish
