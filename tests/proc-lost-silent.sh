#!/usr/bin/env bash
# Guards against streams that are cut because all servers that could take them are silent for a second or two.
. "$(dirname "$0")/lost-lib.sh"
start_lost 2 1 1 || exit 1

# silent_for NAME SECONDS LINK…: both engines have streams and are silent
silent_for() {
    local name=$1 s=$2
    shift 2
    streams "$name" 8 "/review/$name"
    streams "$name-once" 4 "/flag/$name"
    sleep 0.4
    hold_links hang "$@"
    sleep "$s"
    hold_links none "$@"
    wait_streams
    expect_none_cut "$name" "no stream that may be resumed is cut while its server is silent for $s s"
    expect_none_cut "$name-once" "nor one that may not be resumed"
}
silent_for brief 1.1 0 1
silent_for medium 1.5 0 1
silent_for long 2 0 1
silent_for longer 2.5 0 1
silent_for path 2 0 1 2
finish
