#!/usr/bin/env bash
# Guards against streams that nobody can take up after all hosts were killed at once, though servers of their version are there.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1
sleep 2

# All hosts end at once and start again 0.4 s later; the streams last 3 s.
clients all 8 6
sleep 4
for host in 1 2 3; do stop relay-$host KILL; done
sleep 0.4
start_relays 3
wait_clients
expect_versions all
expect_taken_up all 12

# The servers of one version leave while the hosts are away: its streams do not go on at the other version.
sleep 2
clients gone 8 6
sleep 4
for host in 1 2 3; do stop relay-$host KILL; done
for id in "${VERSION_1[@]}"; do engine "$id" '{"gone":true,"draining":true}'; done
sleep 0.4
start_relays 3
wait_clients
expect_versions gone
up=$(figure gone taken_up) on=$(figure gone went_on)
expect "gone: streams of the version that is left, half of all, go on ($on of $up)" [ "$up" -ge 12 -a $((4 * on)) -ge "$up" ]
expect "gone: the others do not" [ $((4 * on)) -le $((3 * up)) ]
finish
