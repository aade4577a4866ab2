#!/usr/bin/env bash
# Guards against forwarded requests that are lost while the two hosts have different routes, services or keys.
. "$(dirname "$0")/lost-lib.sh"
STORE_OF_ALL=$PLATFORM_STORE
store_link_addr() { echo "127.0.0.1:$((7700 + BASE + $1))"; }
start_platform 3 2 || exit 1
long_config 2 >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
STORE_LINKS=127.0.0.1:$((7700 + BASE))
run store-links "$BUILD/fake-link" --admin "$STORE_LINKS" --link "$(store_link_addr 1),$STORE_OF_ALL" --link "$(store_link_addr 2),$STORE_OF_ALL"
sleep 0.3
for host in 1 2; do PLATFORM_STORE=$(store_link_addr $host) start_relay $host; done
for host in 1 2; do wait_for "http://$(ready_addr $host)/readiness" || exit 1; done
wait_daemons 2
sleep 7
for engine in e1 e2 e3; do engine $engine '{"events":40,"gap_ms":50}'; done
version_of() { curl -s "http://$(metrics_addr "$1")/" | sed -n 's/^celeryspool_config_version //p'; }
hold_store() { curl -s -o /dev/null --max-time 2 -d "{\"link\":$(($1 - 1)),\"how\":\"$2\"}" "http://$STORE_LINKS/cut"; }
lose_path() {
    cut_host 1 hang
    for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
    wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
    wait_streams
}
# plain NAME COUNT PATH: requests that are answered at once
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
VERSION=2
# put_config COMMAND…: the configuration as a command changes it
put_config() {
    VERSION=$((VERSION + 1))
    long_config $VERSION | "$@" >"$OUT/config-$VERSION.json"
    post_admin object/config/main "@$OUT/config-$VERSION.json"
}
# change COMMAND…: host 2 alone gets the next configuration at first
change() {
    hold_store 1 hang
    put_config "$@"
    sleep 0.4
    expect "the hosts differ" [ "$(version_of 1)" != "$(version_of 2)" ]
}
ends() {
    wait_streams
    local name
    for name in "$@"; do expect_none_cut $name "none of $name is cut"; done
    echo "    versions $(version_of 1) and $(version_of 2)"
    hold_store 1 none
    put_config cat
    sleep 1.5
    expect "both hosts have the last configuration" [ "$(version_of 1) $(version_of 2)" = "$VERSION $VERSION" ]
}
lose_path

# A route that only one host has, requests before and after the change.
streams before-route 4 /review/x
change sed '/"name":"review"/d'
streams after-route 4 /review/x
plain after-route-read 4 /read/x
ends before-route after-route after-route-read

# A route that moves to another service; a key that only one host has.
streams before-move 4 /review/x
streams before-move-once 4 /flag/x
change sed 's/"access_keys":\["key1","old-key"\]/"access_keys":["old-key"]/'
streams after-key 4 /review/x
streams after-key-once 4 /flag/x
plain after-key-read 4 /read/x
ends before-move before-move-once after-key after-key-once after-key-read

# Requests that are not resumable any more, and a smaller limit of bodies.
streams before-kind 4 /review/x
change sed 's/"resumable":true/"resumable":false/; s/"max_body_bytes":65536/"max_body_bytes":1/; s/"max_header_bytes":4096/"max_header_bytes":300/'
streams after-kind 4 /review/x
streams after-kind-once 4 /flag/x
plain after-kind-read 4 /read/x
ends before-kind after-kind after-kind-once after-kind-read
finish
