#!/usr/bin/env bash
# Guards against hosts that go on rejecting requests after a shortage of
# descriptors has passed.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=2
start_platform 4 3 && start_relays 2 || exit 1
limit_descriptors() { prlimit --pid "${PIDS[relay-$1]}" --nofile="$2:"; }
served() { grep -c ^200 "$OUT/$1"; }

send_load before 2
expect "before: all of $(wc -l <"$OUT/before") are served" [ "$(served before)" = "$(wc -l <"$OUT/before")" ]
for i in 1 2; do limit_descriptors $i 12; done
send_load during 3
echo "  during: $(served during) of $(wc -l <"$OUT/during") are served"
for i in 1 2; do limit_descriptors $i 1024; done
sleep 0.5
send_load after 3
expect "half a second after: $(served after) of $(wc -l <"$OUT/after") are served" [ $(($(served after) * 10)) -ge $(($(wc -l <"$OUT/after") * 9)) ]
for i in 1 2; do
    expect "host $i is ready" [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$(ready_addr $i)/readiness")" = 200 ]
    expect "host $i serves streams" [ "$(request_status $i /review/x "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x)" = 200 ]
done

# All hosts return while the shortage lasts.
for i in 1 2; do stop "relay-$i" KILL; done
for i in 1 2; do
    : >"$OUT/relay-$i.log"
    (ulimit -S -n 9 && exec "$BUILD/celeryspoold" --settings "$OUT/relay-$i.ini") >>"$OUT/relay-$i.log" 2>&1 &
    PIDS[relay-$i]=$!
done
sleep 2
for i in 1 2; do expect "host $i runs" kill -0 "${PIDS[relay-$i]}"; done
for i in 1 2; do limit_descriptors $i 1024; done
for i in 1 2; do expect "host $i becomes ready" wait_for "http://$(ready_addr $i)/readiness"; done
sleep 0.5
send_load return 3
expect "after their return: $(served return) of $(wc -l <"$OUT/return") are served" [ $(($(served return) * 10)) -ge $(($(wc -l <"$OUT/return") * 9)) ]
finish
