#!/usr/bin/env bash
# Guards against streams that are sent again under a cache salt of before a configuration isolated a workspace.
. "$(dirname "$0")/relay-lib.sh"
start_platform 2 1 || exit 1
for id in e1 e2; do engine $id '{"events":90,"gap_ms":60,"slots":64}'; done

# configure VERSION ISOLATED: whether ws1 is isolated
configure() { post_admin object/config/main "$(relay_config "$1" | sed "s/\"isolated\":true/\"isolated\":$2/")"; }
# stream ID KEY…: a stream in the background
stream() {
    local id=$1
    shift
    ID=$id DEADLINE_MS=8000 send_request 1 "/review/$id" "$@" "${LLM_HEADERS[@]}" -d x >"$OUT/$id" &
}
# salts ID SERVER: the salts under which a stream was sent to a server
salts() { grep "^run server=$2 uri=/review/$1 " "$RECORD" | grep -o 'Cache-Salt=[^ ]*' | sort -u; }
# list_alone ENGINE: the other one has no entry
list_alone() {
    engine "$1" '{"gone":false}'
    engine $([ "$1" = e1 ] && echo e2 || echo e1) '{"gone":true}'
    sleep 0.5
}
ended() { wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")"); }

configure 1 false
start_relays 1 || exit 1
sleep 5 # the host has its part of the retries
# Both engines hold parts that requests of ws1 have made.
for id in e1 e2; do
    engine $id '{"events":1}'
    list_alone $id
    stream "made-$id" "${KEY1[@]}"
    ended
    engine $id '{"events":90}'
    expect "parts of ws1 are at $id" grep -q "^run server=$id uri=/review/made-$id " "$RECORD"
done

# play NAME ISOLATED…: streams of both workspaces at e1, which share parts, then
# configurations in turn that isolate ws1 or do not, and the crash of e1 3 s later
VERSION=1
play() {
    local name=$1 n isolated former=$(salts made-e2 e2)
    shift
    VERSION=$((VERSION + 1))
    configure $VERSION false
    list_alone e1
    sleep 1
    for n in 1 2 3; do
        stream "$name-ws1-$n" "${KEY1[@]}"
        stream "$name-ws2-$n" "${KEY2[@]}"
    done
    wait_record "^run server=e1 uri=/review/$name-ws2-3 " 3
    sleep 0.5
    for isolated in "$@"; do
        VERSION=$((VERSION + 1))
        configure $VERSION "$isolated"
        sleep 0.3
    done
    sleep 2
    engine e2 '{"gone":false}'
    sleep 0.5
    engine e1 '{"crash":true}'
    ended
    for n in ws1-1 ws1-2 ws1-3 ws2-1 ws2-2 ws2-3; do
        expect "$name: $n goes on at e2" [ "$(grep -c "^run server=e2 uri=/review/$name-$n " "$RECORD")" -ge 1 ]
        expect "$name: $n is complete" [ "$(grep -c token- "$OUT/$name-$n")" = 90 ]
    done
    expect "$name: no stream is sent under the salt that parts of ws1 have" \
        [ -z "$(for n in 1 2 3; do salts "$name-ws2-$n" e2; salts "$name-ws1-$n" e2; done | grep -xF "$former")" ]
    expect "$name: the workspaces share no salt" [ "$(salts "$name-ws1-1" e2)" != "$(salts "$name-ws2-1" e2)" ]
    sleep 2
}
play isolated true
play in-turn true false true
finish
