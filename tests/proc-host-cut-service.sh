#!/usr/bin/env bash
# Guards against callers of a host that is cut off from all servers who are rejected,
# because the other hosts reach no server of another service.
. "$(dirname "$0")/host-cut-lib.sh"
. tests/garbage-lib.sh
HOSTS=3
LINK2=127.0.0.1:$((7700 + BASE))
start_platform 4 3 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
garbage_routes status-000 dark >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
run link2 "$BUILD/fake-link" --admin "$LINK2" --link "$(server_addr 40),127.0.0.1:$((7790 + BASE))" --link "$(server_addr 41),127.0.0.1:$((7791 + BASE))"
run garbage "$BUILD/fake-garbage" --listen "127.0.0.1:$((7790 + BASE))" --id g-40 --kind status-000
sleep 0.2
# entry SERVER SERVICE: of a server that answers wrongly, or does not listen at all
entry() { post_admin "object/servers/g-$1" "{\"service\":\"$2\",\"address\":\"$(server_addr "$1")\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}"; }
entry 40 bad-status-000
entry 41 bad-dark
for i in 1 2 3; do wait_line "$OUT/relay-$i.log" "event=ready server=g-41 " 3; done
sleep 2.2 # a daemon makes no retries just after its start

# other KIND SECONDS: 8 requests a second of that service at the host that is cut off
other() {
    local n calls=()
    for ((n = 0; n < $2 * 8; n++)); do
        timed_call "$OUT/other-$1-$n" 1 "/read-$1/x" &
        calls+=($!)
        sleep 0.11
    done
    wait "${calls[@]}"
}
cut_host 1 reset
curl -s -o /dev/null --max-time 2 -d "{\"source\":\"$(host_ip 1)\",\"how\":\"reset\"}" "http://$LINK2/cut"
load settle 3
load alone 4
expect_served alone 1
for kind in status-000 dark; do
    other $kind 6 &
    other=$!
    sleep 1
    load "$kind" 4
    wait $other
    expect_served "$kind" 1
    expect "$kind: none of its own requests is served" [ "$(grep -l '^200' "$OUT/other-$kind"-*[0-9] | wc -l)" = 0 ]
    expect "$kind: some were forwarded" grep -q "event=forwarded id=other-$kind" "$OUT/relay-1.log"
done
finish
