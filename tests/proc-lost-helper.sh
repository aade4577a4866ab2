#!/usr/bin/env bash
# Guards against forwarded requests that are lost when the other host is stopped or frozen for a second.
. "$(dirname "$0")/lost-lib.sh"
start_lost 3 2 3 || exit 1
lose_path() {
    cut_host 1 hang
    for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
    wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
    wait_streams
}
lose_path
# both NAME: streams of both kinds, some of which begin at once and some wait
both() {
    streams "$1" 6 "/review/$1"
    streams "$1-once" 6 "/flag/$1"
}
# plain NAME COUNT PATH: requests that are answered within 100 ms, one after the other
plain() {
    local i
    for ((i = 1; i <= $2; i++)); do
        {
            ID="$1-$i" send_request 1 "$3" "${KEY1[@]}" -d x
            echo "exit $?"
        } >"$OUT/$1-$i" &
        sleep 0.03
    done
}

both frozen
sleep 0.3
kill -STOP "${PIDS[relay-2]}"
plain frozen-read 10 /read/x
plain frozen-strike 10 /strike/x
both frozen-late
sleep 0.2
kill -CONT "${PIDS[relay-2]}"
wait_streams
for name in frozen frozen-once frozen-read frozen-strike frozen-late frozen-late-once; do
    expect_none_cut $name "none of $name is cut"
done

both stopped
sleep 0.3
kill -TERM "${PIDS[relay-2]}"
plain stopped-read 20 /read/x
plain stopped-strike 20 /strike/x
both stopped-late
wait_streams
for name in stopped stopped-once stopped-read stopped-strike stopped-late stopped-late-once; do
    expect_none_cut $name "none of $name is cut"
done
# At the end of the stop the host closes idle connections to it.
plain closing-strike 60 /strike/x
wait_streams
expect_none_cut closing-strike "none is cut while the other host closes its connections"
wait "${PIDS[relay-2]}"

# The host that forwards is itself stopped.
both leaving
sleep 0.3
kill -TERM "${PIDS[relay-1]}"
plain leaving-read 10 /read/x
wait_streams
for name in leaving leaving-once leaving-read; do
    expect_none_cut $name "none of $name is cut"
done
finish
