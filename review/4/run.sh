#!/usr/bin/env bash
# A configuration splits a route: it adds one with a longer prefix to the same service.
# Streams that began before and are taken up after it must still go on.
. "$(dirname "$0")/../lib.sh"
ENGINES=4 # e1 and e2 have software v1.1, e3 and e4 v1.2
DAEMONS=3

# route NAME PREFIX
route() { echo "{\"name\":\"$1\",\"host\":\"a.example\",\"path_prefix\":\"$2\",\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":1000,\"target_gap_ms\":800,\"attempts\":2,\"resumable\":true,\"priority\":1,\"public\":false,\"sticky_sessions\":true,\"service\":\"llm\"}"; }
# config VERSION ROUTES
config() {
    cat <<JSON
{"version":$1,"routes":[$2],"services":[{"name":"llm","health_check_path":"/health","connection_limit":360,"engine":{"slots":64,"cache_capacity":228246,"max_in_flight":12,"models":[{"name":"m1"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"ws1","access_keys":["key1"]}]}
JSON
}

args=()
for ((i = 1; i <= ENGINES; i++)); do
    args+=(--server "e$i,llm,$(server "$i"),zone-a,engine,,v1.$((i > ENGINES / 2 ? 2 : 1))")
done
run platform build/fake-platform --store "$STORE" --record "$RUNS" "${args[@]}"
wait_for "$STORE" /objects/servers || cannot_run "the platform does not answer"
platform object/config/main "$(config 1 "$(route review /review/)")"
platform object/versions/m1 '{"model":"m1","version":1}'
for ((i = 1; i <= ENGINES; i++)); do engine "e$i" '{"slots":64,"events":120,"gap_ms":70,"show_runs":true}'; done
start_daemons $DAEMONS
sleep 3

# clients NAME SECONDS [OPTION…]: streams at all daemons, with a report in $WORK/NAME
clients() {
    local name=$1 seconds=$2
    shift 2
    build/fake-streams --hosts "$(front 1),$(front 2),$(front 3)" --path /review/long/s --name "$name" --rate 10 \
        --seconds "$seconds" --events 120 --deadline 15000 --retries 5 --verbose "$@" >"$WORK/$name" 2>&1 &
    PIDS+=($!)
    LAST_PID=$!
}
# Their connections break after event 80, 5.6 s after the first, and they take the
# streams up at once.
note "streams begin"
clients old 2 --leave-after 80
old=$LAST_PID
sleep 2.2
if [ "$TROUBLE" != 0 ]; then
    note "configuration 2 adds a route with the prefix /review/long/, which is as /review/ otherwise"
    platform object/config/main "$(config 2 "$(route review /review/),$(route review-long /review/long/)")"
fi
sleep 3
clients new 3
new=$LAST_PID
wait "$old" "$new"
for name in old new; do { echo "--- what the clients got: $name"; cat "$WORK/$name"; } >>"$RECORD"; done
figure() { awk -v name="$2" '$1 == name { print $2 }' "$WORK/$1"; }
up=$(figure old taken_up) on=$(figure old went_on)
opened=$(figure new opened) begun=$(figure new begun)
note "taken up $up, went on $on, refused $(grep '^refused_take_up' "$WORK/old" | tr '\n' ' ')"
note "new streams opened $opened, begun $begun"
[ "${up:-0}" -ge 12 ] && [ "${opened:-0}" -ge 12 ] || cannot_run "too few streams"
what="$on of $up streams that clients took up went on, $begun of $opened new streams began"
[ $((2 * on * opened)) -lt $((up * begun)) ] && verdict yes "$what"
verdict no "$what"
