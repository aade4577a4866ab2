#!/usr/bin/env bash
# The whole path as separate processes on loopback: four daemons in three data
# centres, nine replicas, a plain service, the platform. Ends 0 with every
# process stopped, or says what went wrong.
cd "$(dirname "$0")/.." || exit 1
OUT=${OUT:-out/demo}
rm -rf "$OUT"
. bench/lib.sh
trap stop_all EXIT
fail() { echo "demo: $*" >&2; exit 1; }
say() { printf '\n== %s\n' "$*"; }

say "start: platform, plain service, 9 replicas, 4 daemons"
start_store || fail "no store"
start_service || fail "no service"
start_engines 9 || fail "no engines"
start_daemons 4 || fail "no daemons"
declare_all 9 moderation || fail "configuration refused"
wait_generation 4 || fail "configuration not everywhere"
ctl show members

say "moderation traffic: rules, guidance, thread, comment, streamed"
"$BUILD/fake-load" -o "targets=$(targets 4)" -o rate=60 -o seconds=4 -w "$OUT/load.json" || fail "load"
sed -n '2,14p' "$OUT/load.json"
[ "$(get "$OUT/load.json" total.wrong)" = 0 ] || fail "a wrong answer"
ctl show traffic sort -done limit 5

say "a takedown with its key, twice, at two daemons"
for i in 1 2; do
    curl -s -i -X POST -H 'Authorization: Bearer key-1' -H 'Idempotency-Key: takedown-77' -d '{"key":"takedown-77"}' \
        "http://$(daemon_addr "$i")/v1/services/desk/takedown" | grep -iE '^HTTP|outcome|replayed|key"'
    sleep 0.3
done
echo "effects at the service: $(curl -s "http://$SERVICE/truth")"
[ "$(curl -s "http://$SERVICE/truth")" = '{"takedown-77":1}' ] || fail "not exactly one effect"

say "an operator drains engine-2"
ctl drain engine-2
ctl explain backend engine-2
ctl show backends sort name

say "graceful stop of router-4 while streams run"
"$BUILD/fake-load" -o "targets=$(targets 4)" -o rate=60 -o seconds=3 -o max_tokens=60 -w "$OUT/stop.json" &
load=$!
sleep 1
stop router-4 || fail "router-4 did not end 0"
wait $load
sed -n '2,14p' "$OUT/stop.json"
[ "$(get "$OUT/stop.json" total.wrong)" = 0 ] || fail "a wrong answer"
[ "$(get "$OUT/stop.json" total.unknown)" = 0 ] || fail "a request was cut"
echo "demo: good"
