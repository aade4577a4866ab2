#!/usr/bin/env bash
# Guards against streams that hosts pass to each other and cut while all servers are silent for a second or two.
. "$(dirname "$0")/lost-lib.sh"
start_lost 2 1 3 || exit 1

# silent_for NAME SECONDS LINK…: streams at all hosts; the engines are silent
silent_for() {
    local name=$1 s=$2
    shift 2
    streams "$name-here" 4 "/review/$name" 1
    streams "$name-there" 4 "/review/$name" 2
    streams "$name-third" 4 "/review/$name" 3
    streams "$name-once" 4 "/flag/$name" 3
    sleep 0.4
    hold_links hang "$@"
    sleep "$s"
    hold_links none "$@"
    wait_streams
    echo "    forwarded: $(cat "$OUT"/relay-*.log | grep -c "event=forwarded id=$name-")"
    expect_none_cut "$name-here" "no stream is cut at one host while its server is silent for $s s"
    expect_none_cut "$name-there" "nor at another one"
    expect_none_cut "$name-third" "nor at a third"
    expect_none_cut "$name-once" "nor one that may not be resumed"
}
silent_for engines 1.5 0 1
silent_for long 2.2 0 1
silent_for all 1.5 0 1 2
finish
