#!/usr/bin/env bash
# Guards against hosts that send as much to a server that reports a slow pace as to others.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=2
start_platform 0 3 && start_relays $HOSTS || exit 1
sleep 0.5

# share_of NAME SERVER: percent of the requests of a load that a server answered
share_of() {
    local all
    all=$(grep -c "run .*X-Celeryspool-Attempt-Id=$1-" "$RECORD")
    echo $((100 * $(grep -c "run .*server=$2 .*X-Celeryspool-Attempt-Id=$1-" "$RECORD") / (all > 0 ? all : 1)))
}
# paces P1 P2 P3: the paces that the servers report; 0 for none
paces() {
    local i=0 pace
    for pace in "$@"; do post_admin "server/p$((++i))" "{\"pace\":$pace}"; done
}

for i in 1 2 3; do post_admin server/p$i '{"work_ms":30}'; done
send_load even 5
expect "without a pace a server gets its share ($(share_of even p1) %)" [ "$(share_of even p1)" -ge 20 ]

post_admin server/p1 '{"work_ms":90}'
send_load unsaid 5
expect "a slow server that says nothing gets nearly its share ($(share_of unsaid p1) %)" [ "$(share_of unsaid p1)" -ge 15 ]

paces 300 100 100
send_load slow 6
expect "most requests avoid the slow server ($(share_of slow p1) %)" [ "$(share_of slow p1)" -le 12 ]
expect "all callers are served" [ "$(grep -c '^200' "$OUT/slow")" = $((HOSTS * 6 * 16)) ]

post_admin server/p1 '{"work_ms":30}'
paces 100 100 100
sleep 1.2
send_load again 5
expect "a server that is as fast as usual again gets its share ($(share_of again p1) %)" [ "$(share_of again p1)" -ge 20 ]

paces 0 0 0
sleep 1.2
send_load none 5
expect "so it does if servers report no pace any more ($(share_of none p1) %)" [ "$(share_of none p1)" -ge 20 ]
finish
