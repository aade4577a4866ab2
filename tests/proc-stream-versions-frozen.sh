#!/usr/bin/env bash
# Guards against take-ups that wait for, or are lost with, a host that answers nothing for a while.
. "$(dirname "$0")/stream-versions-lib.sh"
start_versions || exit 1
clients frozen 9 8 --take-up-hosts "$(hosts 2 3)" --leave-after 20
sleep 3
kill -STOP "${PIDS[relay-1]}"
sleep 3
kill -CONT "${PIDS[relay-1]}"
wait_clients
expect_versions frozen
expect_begun frozen
expect_taken_up frozen 12
expect "frozen: refused at once if at all ($(figure frozen refused_wait_ms) ms)" [ "$(figure frozen refused_wait_ms)" -le 1200 ]
finish
