#!/usr/bin/env bash
# Guards against streams that are refused at a host which has just started, since it does not know the others yet, while a version joins.
. "$(dirname "$0")/stream-versions-lib.sh"
VERSION_2=()
start_versions || exit 1
for id in e1 e2 e3 e4; do engine $id '{"software":"v1.1","slots":64}'; done
for id in e3 e4; do engine $id '{"gone":true}'; done
sleep 1

# The streams of host 1 break off and are taken up as soon as it is back.
clients started 12 2.5 --hosts "$(hosts 1)" --leave-after 55 --retries 4
sleep 1.8
stop relay-1 KILL
for id in e3 e4; do engine $id '{"software":"v1.2","restart":0}'; done
sleep 0.5
start_relay 1
wait_clients
expect_versions started
expect_taken_up started 12
expect "no stream is refused as unknown ($(grep -c 'why=stream-unknown' "$OUT/relay-1.log"))" [ "$(grep -c 'why=stream-unknown' "$OUT/relay-1.log")" = 0 ]
both=$(curl -s "http://$PLATFORM_STORE/objects/servers" | grep -o '"version":"v1.[12]"' | sort -u | wc -l)
expect "servers of both versions serve ($both)" [ "$both" = 2 ]
finish
