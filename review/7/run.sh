#!/usr/bin/env bash
# All machines lose power at the same moment and are back after some seconds.  All
# replicas have one software version, before and after.  Streams that clients take
# up once the machines are in touch again must go on.
. "$(dirname "$0")/../lib-2.sh"
ENGINES=4
DAEMONS=4
DOWN_S=${DOWN_S:-4} # without power
IN_TOUCH_S=3 # stable_window_ms

config() {
    cat <<JSON
{"version":1,"routes":[{"name":"review","host":"a.example","path_prefix":"/review/","kind":"streaming","timeout_ms":15000,"target_latency_ms":1000,"target_gap_ms":800,"attempts":2,"resumable":true,"priority":1,"public":false,"sticky_sessions":true,"service":"llm"}],"services":[{"name":"llm","health_check_path":"/health","connection_limit":360,"engine":{"slots":64,"cache_capacity":228246,"max_in_flight":12,"models":[{"name":"m1"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"ws1","access_keys":["key1"]}]}
JSON
}

args=()
for ((i = 1; i <= ENGINES; i++)); do args+=(--server "e$i,llm,$(server "$i"),zone-a,engine,,v1.1"); done
run platform build/fake-platform --store "$STORE" --record "$RUNS" "${args[@]}"
wait_for "$STORE" /objects/servers || cannot_run "the platform does not answer"
platform object/config/main "$(config)"
platform object/versions/m1 '{"model":"m1","version":1}'
for ((i = 1; i <= ENGINES; i++)); do engine "e$i" '{"slots":64,"events":120,"gap_ms":100,"show_runs":true}'; done
start_daemons $DAEMONS
# Longer than any stream lasts (timeout_ms) and 5 s more.
note "daemons are ready"
sleep 20

fronts=()
for ((i = 1; i <= DAEMONS; i++)); do fronts+=("$(front "$i")"); done
all_fronts=$(IFS=,; echo "${fronts[*]}")
GATE_PORT=$((PORT + 120)) # where clients take streams up
# clients NAME RATE SECONDS [OPTION…]: streams at all daemons, with a report in $WORK/NAME
clients() {
    local name=$1 rate=$2 seconds=$3
    shift 3
    build/fake-streams --hosts "$all_fronts" --take-up-hosts "127.0.0.1:$GATE_PORT" --path /review/s --name "$name" \
        --rate "$rate" --seconds "$seconds" --events 120 --deadline 15000 --retries 3 --verbose "$@" >"$WORK/$name" 2>&1 &
    PIDS+=($!)
    LAST_PID=$!
}
note "streams begin"
leave=()
[ "$TROUBLE" != 0 ] || leave=(--leave-after 20)
clients old 12 2 "${leave[@]}"
old=$LAST_PID
sleep 4
if [ "$TROUBLE" != 0 ]; then
    note "all daemons lose power"
    for ((i = 1; i <= DAEMONS; i++)); do kill -KILL "${DAEMON_PID[$i]}"; done
    sleep "$DOWN_S"
    for ((i = 1; i <= DAEMONS; i++)); do start_daemon "$i"; done
    for ((i = 1; i <= DAEMONS; i++)); do wait_for "$(ready "$i")" /readiness || cannot_run "daemon $i is not ready"; done
    note "all daemons are back"
fi
sleep $IN_TOUCH_S
sleep 0.5
note "clients come back"
run gate build/review/gate $GATE_PORT "${fronts[@]}"
clients new 8 3
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
