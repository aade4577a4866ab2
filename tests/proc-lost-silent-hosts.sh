#!/usr/bin/env bash
<<<<<<< HEAD
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
=======
# Guards against streams that hosts pass to each other and cut while all servers are silent for a second or two.
. "$(dirname "$0")/lost-lib.sh"
start_lost 2 1 3 || exit 1

# silent_for NAME SECONDS LINK…: streams at all hosts; the engines are silent
silent_for() {
    local name=$1 s=$2
    shift 2
    streams "$name-here" 4 "/review/$name" 1
    streams "$name-there" 4 "/review/$name" 2
    streams "$name-once" 4 "/flag/$name" 3
>>>>>>> 42c896bfdc5c226e4158da91f990060a4d7a9a87
    sleep 0.4
    hold_links hang "$@"
    sleep "$s"
    hold_links none "$@"
    wait_streams
<<<<<<< HEAD
    for ((host = 1; host <= HOSTS; host++)); do
        expect_none_cut "$name-at$host" "no stream at host $host is cut while its server is silent for $s s"
    done
}
silent_for engines 1.8 0 1
silent_for all 1.8 0 1 2
=======
    echo "    forwarded: $(cat "$OUT"/relay-*.log | grep -c "event=forwarded id=$name-")"
    expect_none_cut "$name-here" "no stream is cut at one host while its server is silent for $s s"
    expect_none_cut "$name-there" "nor at another one"
    expect_none_cut "$name-once" "nor one that may not be resumed"
}
silent_for engines 1.5 0 1
silent_for long 2.2 0 1
silent_for all 1.5 0 1 2
>>>>>>> 42c896bfdc5c226e4158da91f990060a4d7a9a87
finish
