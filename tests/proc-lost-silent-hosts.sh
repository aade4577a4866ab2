#!/usr/bin/env bash
# Guards against streams that are cut because their servers are silent for all hosts, so that no other host can take them either.
. "$(dirname "$0")/lost-lib.sh"
HOSTS=3
start_lost 2 1 $HOSTS || exit 1

# silent_for NAME SECONDS LINK…: streams at all hosts while the servers are silent
silent_for() {
    local name=$1 s=$2 host
    shift 2
    for ((host = 1; host <= HOSTS; host++)); do
        streams "$name-at$host" 4 "/review/$name" $host
    done
    sleep 0.4
    hold_links hang "$@"
    sleep "$s"
    hold_links none "$@"
    wait_streams
    for ((host = 1; host <= HOSTS; host++)); do
        expect_none_cut "$name-at$host" "no stream at host $host is cut while its server is silent for $s s"
    done
}
silent_for engines 1.8 0 1
silent_for all 1.8 0 1 2
finish
