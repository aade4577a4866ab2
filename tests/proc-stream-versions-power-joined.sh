#!/usr/bin/env bash
# Guards against streams that go on at another version if the server that began them joined right before all hosts lost power, and left while they were away.
. "$(dirname "$0")/stream-versions-lib.sh"
VERSION_1=(e1 e2)
VERSION_2=(e3 e4)

start_platform 4 1 || exit 1
for id in "${VERSION_1[@]}"; do engine $id '{"events":120,"gap_ms":50,"show_runs":true,"software":"v1.1","slots":30}'; done
for id in "${VERSION_2[@]}"; do engine $id '{"events":120,"gap_ms":50,"show_runs":true,"software":"v1.2","gone":true}'; done
start_relays 3 || exit 1
wait_daemons 3
sleep 2
engine e3 '{"gone":false}'
clients joined 30 2 --events 120 --deadline 12000 --retries 3
sleep 0.3
for host in 1 2 3; do stop relay-$host KILL; done
expect "all hosts have listed the server that joined" \
    [ "$(grep -l 'event=ready server=e3' "$OUT"/relay-[123].log | wc -l)" = 3 ]
engine e3 '{"gone":true}'
sleep 4
start_relays 3
wait_clients
expect_versions joined
expect_begun joined

# A version that joins is used within a second.
for id in "${VERSION_1[@]}"; do engine $id '{"mode":"shed"}'; done
engine e4 '{"gone":false}'
sleep 1
clients used 10 1 --events 120 --deadline 12000
wait_clients
expect_versions used
expect_begun used
expect "they begin at the server that joined" wait_record '^run server=e4 ' 5
finish
