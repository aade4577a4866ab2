#!/usr/bin/env bash
# Guards against odd statuses, broken heads and parts of answers that reach callers of a
# host whose requests another host forwards, and against callers that are held by them.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="status-000 status-0200 status-20 status-999 part-reset length-reset chunks-reset coding-less coding-events line-lf line-cr value-control chunk-short length-short length-letter name-blank"
GARBAGE_ATTEMPTS=2
LINK2=127.0.0.1:$((7700 + BASE))
AT_ONCE_MS=2000
RETRY_SLACK=4000
start_platform 1 1 && start_relays 3 || exit 1
wait_daemons 3
garbage_routes $KINDS >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"

# The broken servers are reached through links too, so that host 1 can be cut off from all.
behind_addr() { echo "127.0.0.1:$((7750 + BASE + $1))"; }
links=()
n=40
for kind in $KINDS; do links+=(--link "$(server_addr $n),$(behind_addr $n)"); n=$((n + 1)); done
run link2 "$BUILD/fake-link" --admin "$LINK2" "${links[@]}"
n=40
for kind in $KINDS; do
    run "garbage-$n" "$BUILD/fake-garbage" --listen "$(behind_addr $n)" --id "g-$n" --kind "$kind"
    sleep 0.1
    post_admin "object/servers/g-$n" "{\"service\":\"bad-$kind\",\"address\":\"$(server_addr $n)\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}"
    n=$((n + 1))
done
for i in 1 2 3; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$((n - 1)) " 3; done
sleep 2.2 # a daemon makes no retries just after its start
cut_host 1 reset
curl -s -o /dev/null --max-time 2 -d "{\"source\":\"$(host_ip 1)\",\"how\":\"reset\"}" "http://$LINK2/cut"
for ((i = 0; i < 6; i++)); do request_status 1 /read/x "${KEY1[@]}" >/dev/null & done
wait_line "$OUT/relay-1.log" 'event=reach state=none' 5
expect "sound servers are reached through other hosts" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
head -c 60000 /dev/zero | tr '\0' a >"$OUT/upload"

for kind in $KINDS; do
    sleep 2.5 # helpers that failed are avoided for a while
    CALLS=()
    for route in read strike stream; do
        for i in 1 2 3 4; do
            timed_call "$OUT/$kind-$route-$i" 1 "/$route-$kind/x" --data-binary "@$OUT/upload" -H 'Expect:' &
            CALLS+=($!)
        done
    done
    wait "${CALLS[@]}"
    files=("$OUT/$kind"-{read,strike,stream}-[1-4])
    expect_failures "$kind" "${files[@]}"
    expect "$kind: hosts forwarded such requests" wait_line "$OUT/relay-1.log" "event=forwarded id=$kind-" 2
done
finish
