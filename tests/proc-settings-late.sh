#!/usr/bin/env bash
# Guards against hosts that never serve again because their settings file was
# missing, empty or cut off when they started or were told to read it again.
. "$(dirname "$0")/relay-lib.sh"
start_platform 2 2 && start_relays 2 || exit 1
relay_settings 1 >"$OUT/whole.ini"
ready_status() { curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$(ready_addr 1)/readiness"; }

# check NAME PROBLEM: host 1 starts with the file as it is, which is whole a second later
check() {
    local begun
    stop relay-1 KILL
    : >"$OUT/relay-1.log"
    run relay-1 "$BUILD/celeryspoold" --settings "$OUT/late.ini"
    sleep 1
    expect "$1: the host waits" kill -0 "${PIDS[relay-1]}"
    expect "$1: it names the problem" grep -qF "$2" "$OUT/relay-1.log"
    expect "$1: once" [ "$(grep -cF "$2" "$OUT/relay-1.log")" = 1 ]
    expect "$1: --check ends with 3" eval '"$BUILD/celeryspoold" --check --settings "$OUT/late.ini" >/dev/null 2>&1; [ $? = 3 ]'
    cat "$OUT/whole.ini" >"$OUT/late.ini"
    begun=$(now_ms)
    expect "$1: it becomes ready once the file is whole" wait_for "http://$(ready_addr 1)/readiness"
    expect "$1: within a second ($(($(now_ms) - begun)) ms)" [ $(($(now_ms) - begun)) -lt 1000 ]
    expect "$1: it serves requests" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
}

rm -f "$OUT/late.ini"
check "missing" "cannot be opened: No such file or directory"
: >"$OUT/late.ini"
check "empty" "name is missing from [daemon]"
head -n 7 "$OUT/whole.ini" >"$OUT/late.ini"
check "cut off at a line" "peer is missing from [listen]"
head -c "$(($(wc -c <"$OUT/whole.ini") / 2))" "$OUT/whole.ini" >"$OUT/late.ini"
check "cut off in a line" "weights_ms is missing from [relay]"

# The file is being written when the host is told to read it again.
head -n 7 "$OUT/whole.ini" >"$OUT/late.ini"
kill -HUP "${PIDS[relay-1]}"
expect "a host does not take up a file that is cut off" wait_line "$OUT/relay-1.log" 'event=reload-waits why=".*peer is missing' 1
expect "it still serves" [ "$(ready_status) $(request_status 1 /read/y "${KEY1[@]}")" = "200 200" ]
cat "$OUT/whole.ini" >"$OUT/late.ini"
expect "it takes it up once it is whole" wait_line "$OUT/relay-1.log" event=reloaded 1

stop relay-1 KILL
rm "$OUT/late.ini"
run relay-1 "$BUILD/celeryspoold" --settings "$OUT/late.ini"
sleep 0.5
stop relay-1
expect "a host that waits ends with 0 on SIGTERM" [ $? = 0 ]
sed 's/^stop_s = .*/stop_s = soon/' "$OUT/whole.ini" >"$OUT/late.ini"
"$BUILD/celeryspoold" --settings "$OUT/late.ini" >"$OUT/wrong.log" 2>&1
expect "a whole file with a fault ends it with 3" [ $? = 3 ]
expect "and the fault is named" grep -q 'late.ini:[0-9]*: stop_s = soon is invalid' "$OUT/wrong.log"
finish
