#!/usr/bin/env bash
# End-to-end demo with separate processes on loopback: four daemons in three data
# centres, nine replicas, a plain service and the platform. Exits 0 if every step
# succeeds; otherwise prints the failed step. All processes are stopped at exit.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/demo}
rm -rf "$OUT"
. bench/lib.sh
trap stop_all EXIT
fail() { echo "demo: $*" >&2; exit 1; }
step() { printf '\n== %s\n' "$*"; }

step "start: platform, plain service, 9 replicas, 4 daemons"
start_store || fail "the store did not start"
start_service || fail "the service did not start"
start_engines 9 || fail "the engines did not start"
start_daemons 4 || fail "the daemons did not start"
declare_all 9 moderation || fail "the configuration was rejected"
wait_generation 4 || fail "a daemon did not adopt the configuration"
ctl show members

step "streamed moderation traffic: rules, guidance, thread, comment"
"$BUILD/fake-load" -o "targets=$(targets 4)" -o rate=60 -o seconds=4 -w "$OUT/load.json" || fail "fake-load failed"
sed -n '2,14p' "$OUT/load.json"
[ "$(get "$OUT/load.json" total.wrong)" = 0 ] || fail "an answer was wrong"
ctl show traffic sort -done limit 5

step "the same takedown at two daemons, with one idempotency key"
for i in 1 2; do
    curl -s -i -X POST -H 'Authorization: Bearer key-1' -H 'Idempotency-Key: takedown-77' -d '{"key":"takedown-77"}' \
        "http://$(daemon_addr "$i")/v1/services/desk/takedown" | grep -iE '^HTTP|outcome|replayed|key"'
    sleep 0.3
done
echo "effects at the service: $(curl -s "http://$SERVICE/truth")"
[ "$(curl -s "http://$SERVICE/truth")" = '{"takedown-77":1}' ] || fail "the takedown was not executed exactly once"

step "an operator drains engine-2"
ctl drain engine-2
ctl explain backend engine-2
ctl show backends sort name

step "graceful shutdown of router-4 with streams in flight"
"$BUILD/fake-load" -o "targets=$(targets 4)" -o rate=60 -o seconds=3 -o max_tokens=60 -w "$OUT/stop.json" &
load_pid=$!
sleep 1
stop router-4 || fail "router-4 did not exit with status 0"
wait $load_pid
sed -n '2,14p' "$OUT/stop.json"
[ "$(get "$OUT/stop.json" total.wrong)" = 0 ] || fail "an answer was wrong"
[ "$(get "$OUT/stop.json" total.unknown)" = 0 ] || fail "a request ended with an unknown outcome"
echo "demo: passed"
