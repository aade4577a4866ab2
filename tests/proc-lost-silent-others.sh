#!/usr/bin/env bash
# Guards against streams that are cut because their server is silent while the others take none.
. "$(dirname "$0")/lost-lib.sh"
start_lost 2 1 1 || exit 1

# silent_beside NAME BEFORE DURING AFTER: all streams are at e1, which is silent
# for 2 s; e2 obeys a command before they begin, one then, and one afterwards
silent_beside() {
    local name=$1
    engine e2 "$2"
    sleep 1.2
    ID="$name-first" send_request 1 "/review/first" "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x >"$OUT/$name.first" &
    sleep 0.1
    streams "$name" 6 "/review/$name"
    streams "$name-once" 3 "/flag/$name"
    sleep 0.3
    engine e2 "$3"
    hold_link 0 hang
    sleep 2
    hold_link 0 none
    wait_streams
    engine e2 "$4"
    echo "    runs: $(grep "^run .*uri=/review/$name" "$RECORD" | sed 's/.*server=\([^ ]*\).*/\1/' | sort | uniq -c | tr '\n' ' ')"
    expect_none_cut "$name" "no stream is cut while its server is silent and the other one is $name"
    expect_none_cut "$name-once" "nor one that may not be resumed"
}
silent_beside rejecting '{"mode":"shed"}' '{"mode":"shed"}' '{"mode":"well"}'
silent_beside resting '{"mode":"shed","rest_s":6}' '{"mode":"shed"}' '{"mode":"well","rest_s":0}'
sleep 3
# The brittle engine has room for one stream, which it works on all the while.
engine e1 '{"mode":"shed"}'
engine e2 '{"brittle":9,"room":1,"events":120}'
sleep 1
streams occupying 1 /review/occupying
sleep 0.3
engine e1 '{"mode":"well"}'
silent_beside brittle '{"room":1}' '{"room":1}' '{"brittle":-1,"room":0,"events":40}'
sleep 2
silent_beside limited '{"limit_per_s":0}' '{"limit_per_s":0}' '{"limit_per_s":-1}'
expect "no server crashed" [ "$(grep -c '^crash' "$RECORD")" = 0 ]
finish
