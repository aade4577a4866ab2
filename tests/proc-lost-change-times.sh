#!/usr/bin/env bash
# Guards against forwarded requests that are ended by the time-out of the other host's configuration.
. "$(dirname "$0")/lost-lib.sh"
# Each host reads the store through a link of its own, which can be held.
STORE_OF_ALL=$PLATFORM_STORE
store_link_addr() { echo "127.0.0.1:$((7700 + BASE + $1))"; }
start_platform 3 1 || exit 1
long_config 2 >"$OUT/config-2.json"
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
hold_store 1 hang
long_config 3 | sed 's/"timeout_ms":8000/"timeout_ms":1500/' >"$OUT/config-3.json"
post_admin object/config/main "@$OUT/config-3.json"
sleep 1
echo "    configurations: $(version_of 1) and $(version_of 2)"
streams apart 6 /review/apart
streams apart-once 3 /flag/apart
wait_streams
echo "    configurations: $(version_of 1) and $(version_of 2)"
grep "event=end id=apart" "$OUT/relay-2.log" | sed 's/.*id=/id=/' | cut -c1-120 | head -4
expect "streams were forwarded" [ "$(grep -c 'event=forwarded id=apart' "$OUT/relay-1.log")" -ge 6 ]
expect_none_cut apart "none is cut while the other host has a shorter time-out"
expect_none_cut apart-once "nor one that may not be resumed"
finish
