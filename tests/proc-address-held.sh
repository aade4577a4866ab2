#!/usr/bin/env bash
# Guards against hosts that never serve again because another program held one of
# their addresses when they started.
. "$(dirname "$0")/relay-lib.sh"
start_platform 2 2 && start_relays 3 || exit 1

# hold NAME OPTION…: holds addresses until `stop NAME KILL`
hold() {
    local name=$1
    shift
    run "$name" "$BUILD/fake-holder" "$@"
    wait_line "$OUT/$name.log" holding 2
}
ready_status() { curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$(ready_addr "$1")/readiness"; }

# check NAME PART WAY ADDR: host 1 starts while its address ADDR is held
check() {
    local name=$1 part=$2 way=$3 addr=$4 begun
    stop relay-1 KILL
    : >"$OUT/relay-1.log"
    case $way in
        local) hold holder --local "$addr" --to "$(server_addr 21)" ;;
        *) hold holder "--$way" "$addr" ;;
    esac || { expect "$name: the address is held" false; return; }
    start_relay 1
    sleep 1.5
    expect "$name: the host waits" kill -0 "${PIDS[relay-1]}"
    expect "$name: its log names the address and the reason" \
        grep -qE "event=address-unavailable for=$part addr=$addr why=\"Address already in use\"" "$OUT/relay-1.log"
    [ "$part" = metrics ] || expect "$name: the host is not ready" [ "$(ready_status 1)" != 200 ]
    [ "$part" != metrics ] || expect "$name: the host serves without it" [ "$(ready_status 1) $(request_status 1 /read/m "${KEY1[@]}")" = "200 200" ]
    stop holder KILL
    begun=$(now_ms)
    expect "$name: the host becomes ready once the address is free" wait_for "http://$(ready_addr 1)/readiness"
    expect "$name: within a second ($(($(now_ms) - begun)) ms)" [ $(($(now_ms) - begun)) -lt 1000 ]
    expect "$name: it serves requests" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
    expect "$name: its metrics can be read" wait_for "http://$(metrics_addr 1)/metrics"
}

check "callers" callers tcp "$(relay_addr 1)"
check "callers, as the local end of a connection" callers local "$(relay_addr 1)"
check "readiness" readiness tcp "$(ready_addr 1)"
check "other hosts" peers tcp "$(relay_peer_addr 1)"
check "datagrams of other hosts" datagrams udp "$(relay_peer_addr 1)"
check "metrics" metrics tcp "$(metrics_addr 1)"

# All hosts end at once; connections of others hold an address of each.
for i in 1 2 3; do stop "relay-$i" KILL; done
hold holder-1 --local "$(relay_addr 1)" --to "$(server_addr 21)"
hold holder-2 --udp "$(relay_peer_addr 2)"
hold holder-3 --tcp "$(ready_addr 3)"
for i in 1 2 3; do start_relay "$i"; done
sleep 1
for i in 1 2 3; do stop "holder-$i" KILL; done
sleep 1
for i in 1 2 3; do
    expect "all hosts: host $i serves a second later" [ "$(ready_status "$i") $(request_status "$i" /read/a "${KEY1[@]}")" = "200 200" ]
done

# A host that waits for its address ends when it is told to.
stop relay-1 KILL
hold holder --tcp "$(relay_addr 1)"
start_relay 1
sleep 0.5
begun=$(now_ms)
kill -TERM "${PIDS[relay-1]}"
wait "${PIDS[relay-1]}"
expect "a host that waits ends with 0 on SIGTERM" [ $? = 0 ]
expect "at once ($(($(now_ms) - begun)) ms)" [ $(($(now_ms) - begun)) -lt 500 ]
stop holder KILL
finish
