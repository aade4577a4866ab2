#!/usr/bin/env bash
# Guards against a request that waits for room and runs twice, through another host and from its own, when its host loses its path to all servers.
LINKED=1
. "$(dirname "$0")/priority-lib.sh"
RELAYS=2
ENGINES=2
LONG_MS=4000
WAIT_MS=$((LONG_MS / 2)) # the longest wait of a long request for room
DEADLINE_MS=16000
EVENTS=30 # of a long request, in 1.5 s
COUNT=80

# wait_waiting COUNT SECONDS: waits until so many long requests have had to wait at host 1
wait_waiting() {
    local n
    for ((n = 0; n < $2 * 10; n++)); do
        [ "$(admission 1 2 waited)" -lt "$1" ] || return 0
        sleep 0.1
    done
    return 1
}

# play NAME HOW: host 1 loses its path for a second while long requests wait
# there, and has it back while those that it sent on wait at the other host
play() {
    # Long requests arrive faster than engines serve them; urgent ones keep
    # slots free of them.
    ask_often 1 "$1-urgent" 60 0.1 '/urgent/x?events=2' 2500 &
    local urgent=$!
    ask_often 1 "$1-long" $COUNT 0.06 "/long/x?events=$EVENTS" $DEADLINE_MS &
    local long=$!
    sleep 1.8
    expect "$1: long requests wait at the host" wait_waiting 4 2
    cut_host 1 "$2"
    sleep 1
    cut_host 1 none
    wait $urgent $long
    sed -nE "s/^t=([0-9]+) .*event=forwarded id=$1-long-([0-9]+) .*/\2 \1/p" "$OUT/relay-1.log" >"$OUT/$1-forwarded"
    # Those that had waited when they were sent on.
    awk 'NR == FNR { sent[$1] = $2; next } $2 - sent[$1] >= 100 { print $1 }' "$OUT/$1-long-sent" "$OUT/$1-forwarded" | sort -u >"$OUT/$1-waiters"
}
# of_waiters NAME: the results of the requests that had waited
of_waiters() { awk 'NR == FNR { waiter[$1]; next } $1 in waiter' "$OUT/$1-waiters" "$OUT/$1-long"; }
# runs_of NAME: ids of requests, one for each run at an engine
runs_of() { sed -nE "s/^run .*X-Celeryspool-Attempt-Id=($1-[a-z]+-[0-9]+) .*/\1/p" "$RECORD" | sort; }
# rejected_ids NAME: ids of requests whose callers were told that they have not run
rejected_ids() { for kind in long urgent; do awk -v name="$1-$kind" '$2 == 503 { print name "-" $1 }' "$OUT/$1-$kind"; done | sort; }

expect_sound() {
    expect "$1: no request runs twice ($(runs_of "$1" | uniq -d | wc -l) do)" [ -z "$(runs_of "$1" | uniq -d)" ]
    expect "$1: none that is rejected runs" [ -z "$(runs_of "$1" | uniq | comm -12 - <(rejected_ids "$1"))" ]
    local cut=$(awk -v events=$EVENTS '$2 == 200 { print $1 }' "$OUT/$1-long" | while read -r id; do sed -n 's/^id: //p' "$OUT/body-$1-long-$id" | sort -cnu || echo "$id"; done | wc -l)
    expect "$1: events come in order, each once ($cut do not)" [ "$cut" = 0 ]
    for i in 1 2; do expect "$1: relay $i keeps running" kill -0 "${PIDS[relay-$i]}"; done
}

start_platform $ENGINES 1 && start_relays $RELAYS || exit 1
wait_daemons $RELAYS
limit_slots $ENGINES
put_config $RELAYS 2 250 $LONG_MS || exit 1
sleep 1.5 # the reserve is learned, and retries are allowed again

play reset reset
expect "the host loses its path" grep -q 'event=reach state=none' "$OUT/relay-1.log"
count=$(of_waiters reset | wc -l)
expect "requests that wait are sent through the other host ($count)" [ "$count" -ge 3 ]
answered=$(of_waiters reset | awk '$2 == 200 { print $1 }' | while read -r id; do grep -lx "id: $EVENTS" "$OUT/body-reset-long-$id"; done | wc -l)
# Besides the wait, 200 ms for a busy machine.
rejected=$(of_waiters reset | awk -v wait=$WAIT_MS '$2 == 503 && $4 * 1000 <= wait + 200 { n++ } END { print n + 0 }')
expect "they are answered whole or rejected within their wait ($answered and $rejected of $count)" [ $((answered + rejected)) = "$count" ]
expect_sound reset
sleep 3

play hang hang
expect_sound hang
finish
