#!/usr/bin/env bash
# Guards against requests that count as running at a stand-in server after their
# connection or deadline has ended: an order to load weights waits for them for good.
. "$(dirname "$0")/relay-lib.sh"
start_platform 1 0 || exit 1

active() { curl -s --max-time 1 "http://$(server_addr 1)/report" | grep -o '"active_requests":[0-9]*' | cut -d: -f2; }
queued() { curl -s --max-time 1 "http://$(server_addr 1)/report" | grep -o '"queued_requests":[0-9]*' | cut -d: -f2; }
wait_idle() {
    local n
    for ((n = 0; n < 20; n++)); do
        [ "$(active)$(queued)" = 00 ] && return 0
        sleep 0.05
    done
    return 1
}

# A silent server does not answer for its report either.
wait_idle_after_silence() {
    engine e1 '{"mode":"well"}'
    wait_idle
}

# leave SECONDS ARGUMENT…: a caller that leaves without an answer
leave() { curl -s -o /dev/null --max-time "$1" -H 'X-Celeryspool-Attempt-Id: a' "${@:2}" "http://$(server_addr 1)/review/x"; }

engine e1 '{"mode":"silent"}'
leave 0.3
expect "a silent server: a request ends with its connection" wait_idle_after_silence
engine e1 '{"mode":"silent"}'
leave 0.3 -d body
expect "a silent server: so does one with a body" wait_idle_after_silence
engine e1 '{"mode":"silent"}'
leave 2 -H 'X-Celeryspool-Deadline-Milliseconds: 300' -d body
expect "a silent server: a request ends at its deadline" wait_idle_after_silence
engine e1 '{"hold_fetches":true}'
leave 0.3 -d body
expect "a held request ends with its connection" wait_idle
engine e1 '{"hold_fetches":false,"slots":1,"gap_ms":200,"events":4}'
leave 2 -d body &
first=$!
sleep 0.1
leave 0.3 -d body
wait $first
expect "a request that waits for a slot ends with its connection" wait_idle
engine e1 '{"slots":0,"gap_ms":20,"mode":"silent"}'
leave 0.3 -d body
engine e1 '{"mode":"well"}'
curl -s -o /dev/null --max-time 1 -d '{"operation":"version","model":"m1","version":2,"drain_mode":"wait","holder":"h","fencing_token":1}' "http://$(server_addr 1)/order"
expect "an order that waits for requests is carried out" wait_record 'loaded server=e1 version=2' 2
finish
