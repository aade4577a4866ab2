#!/usr/bin/env bash
# Guards against hosts that end, or that stop following the list of servers, because
# another writer has left an odd entry in it.
. "$(dirname "$0")/relay-lib.sh"
start_platform 8 1 && start_relays 3 || exit 1

version_of() { curl -s --max-time 1 "http://$(metrics_addr "$1")/metrics" | awk '/^celeryspool_config_version /{print $2}'; }
nested() {
    local open close
    open=$(printf "$1%.0s" $(seq "$3"))
    close=$(printf "$2%.0s" $(seq "$3"))
    echo "${open}1$close"
}
sound='\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"dc-a\",\"state\":\"ready\",\"born\":1,\"slots\"'

version=1
# check NAME SPEC: SPEC as the text of a JSON string
check() {
    local relay late=0
    post_admin store "{\"odd_spec\":\"$2\"}"
    version=$((version + 1))
    relay_config $version >"$OUT/config-$version.json"
    post_admin object/config/main "@$OUT/config-$version.json"
    post_admin server/e$version '{"draining":true}'
    sleep 2
    for relay in 1 2 3; do
        [ "$(version_of $relay)" = $version ] || late=1
        grep -q "event=draining server=e$version " "$OUT/relay-$relay.log" || late=1
    done
    expect "$1: hosts follow changes of the configuration and of servers" [ $late = 0 ]
    stop relay-1 KILL
    start_relay 1
    wait_for "http://$(ready_addr 1)/readiness"
    expect "$1: a host that starts becomes ready" [ $? = 0 ]
    expect "$1: it serves requests" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
}

check "nested arrays" "$(nested '[' ']' 5000)"
check "nested objects" "$(nested '{\\"a\\":' '}' 3000)"
check "a number of 26 digits" "{$sound:99999999999999999999999999}"
check "a number without end" "{$sound:1e999}"
check "slots that do not fit" "{$sound:4294967296}"
check "a port out of range" '{\"service\":\"desk\",\"address\":\"127.0.0.1:99999\",\"zone\":\"dc-a\",\"state\":\"ready\",\"born\":1,\"slots\":4}'

# An entry that was sound and is not any more names no server, whether a host
# learns of it by an event or by a list.
entry() { echo "{\"service\":\"desk\",\"address\":\"127.0.0.1:$1\",\"zone\":\"dc-a\",\"state\":\"$2\",\"slots\":4,\"born\":1}"; }
post_admin object/servers/other "$(entry 9 ready)"
for relay in 1 2 3; do expect "host $relay knows a server" wait_line "$OUT/relay-$relay.log" 'event=ready server=other ' 2; done
post_admin object/servers/other "$(entry 99999 ready)"
for relay in 1 2 3; do expect "host $relay does not use it once its entry is odd" wait_line "$OUT/relay-$relay.log" 'event=gone server=other ' 2; done
post_admin object/servers/other "$(entry 9 draining)"
for relay in 1 2 3; do expect "host $relay follows once it is sound again" wait_line "$OUT/relay-$relay.log" 'event=draining server=other ' 2; done
for relay in 2 3; do expect "host $relay did not end" kill -0 "${PIDS[relay-$relay]}"; done
finish
