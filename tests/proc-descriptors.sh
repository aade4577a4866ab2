#!/usr/bin/env bash
# Guards against hosts that serve nobody while idle connections of others take
# all the descriptors that they may have.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=1
start_platform 4 3 || exit 1
cpu_ms() { awk -v hz="$(getconf CLK_TCK)" '{print int(($14 + $15) * 1000 / hz)}' "/proc/${PIDS[relay-1]}/stat"; }

# play NAME ADDR TEXT: 16 requests a second for 4 s, while the host has 256
# descriptors and 400 connections to ADDR that send TEXT and no more
play() {
    local name=$1 before after begun
    stop relay-1 KILL
    relay_settings 1 >"$OUT/relay-1.ini"
    : >"$OUT/relay-1.log"
    (ulimit -n 256 && exec "$BUILD/celeryspoold" --settings "$OUT/relay-1.ini") >>"$OUT/relay-1.log" 2>&1 &
    PIDS[relay-1]=$!
    wait_for "http://$(ready_addr 1)/readiness" || exit 1
    run holder "$BUILD/fake-holder" --idle 400 --to "$2" --send "$3"
    wait_line "$OUT/holder.log" holding 5
    sleep 1
    before=$(cpu_ms)
    send_load "$name" 4
    after=$(cpu_ms)
    expect "$name: the host is ready" [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 2 "http://$(ready_addr 1)/readiness")" = 200 ]
    expect "$name: it serves $(grep -c ^200 "$OUT/$name") of $(wc -l <"$OUT/$name") requests" [ $(($(grep -c ^200 "$OUT/$name") * 10)) -ge $(($(wc -l <"$OUT/$name") * 9)) ]
    expect "$name: it does not spin ($((after - before)) ms of processor time)" [ $((after - before)) -lt 2000 ]
    expect "$name: it logs little ($(wc -l <"$OUT/relay-1.log") lines)" [ "$(wc -l <"$OUT/relay-1.log")" -lt 2000 ]
    stop holder KILL
    : >"$OUT/holder.log"
    sleep 0.5
    expect "$name: it serves at once when they are gone" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
}
play idle "$(relay_addr 1)" ""
play half-heads "$(relay_addr 1)" $'GET /read/x HTTP/1.1\r\nHost: a.example\r\n'
play idle-readiness "$(ready_addr 1)" ""
play idle-peers "$(relay_peer_addr 1)" ""
finish
