#!/usr/bin/env bash
# Guards against streams that break before a report shows which process began them, and go on at another version, or end although their server has not started again.
. "$(dirname "$0")/stream-versions-lib.sh"
HOSTS=1
start_versions || exit 1
sleep 5 # the host has its part of the retries

# stream NAME: a stream
stream() {
    ID=$1 send_request 1 "/review/$1" "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x >"$OUT/$1"
}
# streams NAME ENGINE: three streams that begin at an engine that answers no report
streams() {
    local id n
    for id in e1 e2 e3 e4; do engine $id '{"mode":"shed"}'; done
    engine "$2" '{"mode":"well","mute_reports":true}'
    for n in 1 2 3; do stream "$1$n" & done
    expect "streams run at $2" wait_record "^run server=$2 uri=/review/${1}3 " 3
    sleep 0.5
}
# ended: waits for the streams
ended() { wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")"); }
# expect_streams NAME VERSION: all events of three streams are of a version
expect_streams() {
    local n
    for n in 1 2 3; do
        expect "$1$n has events of one version ($(grep -o 'software=[^ ]*' "$OUT/$1$n" | sort | uniq -c | tr '\n' ' '))" \
            [ "$(grep -o 'software=[^ ]*' "$OUT/$1$n" | sort -u)" = "software=$2" ]
    done
}
# expect_complete NAME: three streams are complete
expect_complete() {
    local n
    for n in 1 2 3; do expect "$1$n is complete" [ "$(grep -c token- "$OUT/$1$n")" = 40 ]; done
}

for id in e1 e2 e3 e4; do engine $id '{"events":40}'; done

# renew ENGINE: starts it again with its entry, so that no report covers a connection to it
renew() {
    engine "$1" '{"restart":0}'
    sleep 0.5
}

# The server has not started again since its entry, and says so once it is asked.
renew e1
streams sound e1
engine e2 '{"mode":"well"}'
engine e1 '{"mute_reports":false,"end_streams":1}'
ended
expect_streams sound v1.1
expect_complete sound

# The server ends, so it does not answer.
renew e3
streams ended e3
engine e4 '{"mode":"well"}'
engine e3 '{"mute_reports":false,"software":"v1.2","restart":1500}'
ended
expect_streams ended v1.2
expect_complete ended
sleep 2

# The server has started again unlisted, and says so once it is asked: its
# streams may have begun before that.
post_admin store '{"down":true}'
engine e2 '{"software":"v1.2","restart":0}'
sleep 0.3
streams again e2
engine e1 '{"mode":"well"}'
engine e2 '{"mute_reports":false,"end_streams":1}'
ended
post_admin store '{"down":false}'
expect_streams again v1.2
# checks NAME SERVER: checks of a server that the streams waited for; - if it did not answer
checks() { grep -cE "event=origin-checked id=${1}[123] server=$2 " "$OUT/relay-1.log"; }
for n in 1 2 3; do wait_line "$OUT/relay-1.log" "event=end id=again$n " 3; done # the log is written in pieces
expect "the host asked each server ($(checks sound e1), $(checks ended -), $(checks again e2))" \
    [ "$(checks sound e1) $(checks ended -) $(checks again e2)" = "3 3 3" ]
finish
