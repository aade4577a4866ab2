#!/usr/bin/env bash
# Guards against streams that clients take up again at a server of another software version after hosts end.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1

# One host ends, then a second; the last one is in touch with what they began.
clients killed 8 9
sleep 4
stop relay-1 KILL
sleep 4
stop relay-2 KILL
wait_clients
expect_versions killed
expect_begun killed
expect_taken_up killed 12

start_relay 1
start_relay 2
for host in 1 2; do wait_for "http://$(ready_addr $host)/readiness"; done
wait_daemons $HOSTS
sleep 3.5

# Each host ends in turn and starts again 0.6 s later.
clients turn 8 10
for host in 1 2 3; do
    sleep 2.4
    stop relay-$host KILL
    sleep 0.6
    start_relay $host
done
wait_clients
expect_versions turn
echo "  turn: $(figure turn went_on) of $(figure turn taken_up) go on"

for host in 1 2 3; do wait_for "http://$(ready_addr $host)/readiness"; done
wait_daemons $HOSTS
sleep 3.5

# All hosts end at once and start again 0.4 s later: nobody may know the versions.
clients all 8 6
sleep 4
for host in 1 2 3; do stop relay-$host KILL; done
sleep 0.4
start_relays 3
wait_clients
expect_versions all
echo "  all: $(figure all went_on) of $(figure all taken_up) go on"
finish
