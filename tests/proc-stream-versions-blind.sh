#!/usr/bin/env bash
# Guards against a host that is out of step and lets streams which began at a new version, unknown to it, go on at an older one.
. "$(dirname "$0")/stream-versions-lib.sh"
HOSTS=1
BLIND_ADMIN=127.0.0.1:$((7700 + BASE))
STORE_LINK=127.0.0.1:$((7701 + BASE))
eval "$(declare -f relay_settings | sed '1s/relay_settings/base_settings/')"
relay_settings() { base_settings "$1" | sed "s/^store = .*/store = $STORE_LINK/"; }
# store_link hang|none: whether the host's calls of the store get through
store_link() { curl -s -o /dev/null --max-time 2 -d "{\"link\":0,\"how\":\"$1\"}" "http://$BLIND_ADMIN/cut"; }

run blind "$BUILD/fake-link" --admin "$BLIND_ADMIN" --link "$STORE_LINK,$PLATFORM_STORE"
VERSION_2=()
start_platform 2 1 || exit 1
for id in e1 e2; do engine $id '{"events":20,"gap_ms":20,"show_runs":true,"software":"v1.1"}'; done
start_relays 1 || exit 1
sleep 12 # the host has seen one version for longer than streams last

# take_up NAME: a stream whose first event another host's attempt has brought
take_up() {
    local begin=$(now_ms)
    ID=$1 send_request 1 "/review/$1" "${KEY1[@]}" "${LLM_HEADERS[@]}" -H 'Last-Event-Id: 5' -H "Resumes: began-$1" -d x >"$OUT/$1"
    echo $(($(now_ms) - begin)) >"$OUT/$1-ms"
}
status() { tail -1 "$OUT/$1"; }

for n in 1 2 3; do take_up calm-$n; done
for n in 1 2 3; do
    expect "calm-$n: goes on at the only version ($(status calm-$n) after $(cat "$OUT/calm-$n-ms") ms)" [ "$(status calm-$n)" = 200 -a "$(grep -o 'software=[^ ]*' "$OUT/calm-$n" | sort -u)" = software=v1.1 ]
done

store_link hang
for n in 1 2 3 4 5 6; do
    sleep 0.4
    take_up blind-$n &
done
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
for n in 1 2 3 4 5 6; do
    expect "blind-$n: does not go on at a version that is guessed ($(status blind-$n))" [ "$(status blind-$n)" = 503 -a "$(count_runs blind-$n)" = 0 ]
    expect "blind-$n: is refused soon ($(cat "$OUT/blind-$n-ms") ms)" [ "$(cat "$OUT/blind-$n-ms")" -le 1500 ]
done

# A host that stood still.
store_link none
sleep 3
kill -STOP "${PIDS[relay-1]}"
store_link hang
sleep 2.2
kill -CONT "${PIDS[relay-1]}"
take_up frozen
expect "frozen: does not go on at a version that is guessed ($(status frozen))" [ "$(status frozen)" = 503 -a "$(count_runs frozen)" = 0 ]
store_link none
sleep 12
take_up back
expect "back: goes on once the host has been in step for as long as streams last ($(status back))" [ "$(status back)" = 200 ]
finish
