#!/usr/bin/env bash
# Guards against forwarded streams that the other host takes from a silent server since its newer configuration lets them resume, though the first host's does not.
. "$(dirname "$0")/lost-lib.sh"
# Each host reads the store through a link of its own, which can be held.
STORE_OF_ALL=$PLATFORM_STORE
store_link_addr() { echo "127.0.0.1:$((7700 + BASE + $1))"; }
start_platform 3 1 || exit 1
flag_config() { long_config "$1" | sed 's/"timeout_ms":3000/"timeout_ms":8000/'; }
flag_config 2 >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
STORE_LINKS=127.0.0.1:$((7700 + BASE))
run store-links "$BUILD/fake-link" --admin "$STORE_LINKS" --link "$(store_link_addr 1),$STORE_OF_ALL" --link "$(store_link_addr 2),$STORE_OF_ALL"
sleep 0.3
for host in 1 2; do
    PLATFORM_STORE=$(store_link_addr $host) start_relay $host
done
for host in 1 2; do wait_for "http://$(ready_addr $host)/readiness" || exit 1; done
wait_daemons 2
sleep 7
for engine in e1 e2 e3; do engine $engine '{"events":60,"gap_ms":50}'; done
version_of() { curl -s "http://$(metrics_addr "$1")/" | sed -n 's/^celeryspool_config_version //p'; }
hold_store() { curl -s -o /dev/null --max-time 2 -d "{\"link\":$(($1 - 1)),\"how\":\"$2\"}" "http://$STORE_LINKS/cut"; }
cut_host 1 hang
for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
wait_streams
sleep 1

# silent NAME: forwarded streams; two of three engines are silent for 1.6 s
silent() {
    streams "$1" 6 "/flag/$1"
    sleep 0.4
    hold_links hang 0 1
    sleep 1.6
    hold_links none 0 1
    wait_streams
    sleep 0.3
    echo "    configurations: $(version_of 1) and $(version_of 2)"
    grep "event=send-failed id=$1" "$OUT/relay-2.log" | sed 's/.*id=/id=/' | head -3
    expect "streams were forwarded" [ "$(grep -c "event=forwarded id=$1" "$OUT/relay-1.log")" -ge 6 ]
}
silent same
expect_none_cut same "none that may not be resumed is cut while both hosts hold the same configuration"
hold_store 1 hang
flag_config 3 | sed 's/"attempts":1,"resumable":false/"attempts":2,"resumable":true/' >"$OUT/config-3.json"
post_admin object/config/main "@$OUT/config-3.json"
sleep 1
silent apart
expect_none_cut apart "none is cut while the other host already lets it resume"
finish
