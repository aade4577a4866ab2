#!/usr/bin/env bash
# Guards against requests that are lost beside changes of the configuration while servers leave and new ones come.
. "$(dirname "$0")/lost-lib.sh"
start_lost 4 3 3 || exit 1

VERSION=2
# put_config COMMAND…: the configuration as a command changes it
put_config() {
    VERSION=$((VERSION + 1))
    long_config $VERSION | "$@" >"$OUT/config-$VERSION.json"
    post_admin object/config/main "@$OUT/config-$VERSION.json"
}
# mixed NAME SECONDS [HOST]: requests of all kinds for a time, at all hosts or one
mixed() {
    local n=0 end=$(($(now_ms) + $2 * 1000)) host
    while [ "$(now_ms)" -lt $end ]; do
        n=$((n + 1))
        host=${3:-$((n % 3 + 1))}
        one "$1-$n" "$host" /review/x &
        one "$1-$((n + 10000))" "$host" /flag/x &
        one "$1-$((n + 20000))" "$host" /read/x &
        one "$1-$((n + 30000))" "$host" /strike/x &
        one "$1-$((n + 40000))" "$host" /open/x &
        sleep 0.12
    done
    wait
}
one() {
    {
        ID="$1" send_request "$2" "$3" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $1:800,b$1:410,c$1:250" -d x "${@:4}"
        echo "exit $?"
    } >"$OUT/$1"
}
sent() { ls "$OUT"/"$1"-[0-9]* | wc -l; }

# Time-outs, routes, keys and workspaces change, one after the other.
changes() {
    put_config sed 's/"timeout_ms":8000/"timeout_ms":7000/g; s/"timeout_ms":800/"timeout_ms":900/g'
    sleep 0.7
    put_config sed 's/"name":"ws2"/"name":"ws3"/; s/,"old-key"//'
    sleep 0.7
    put_config sed 's/"idle_timeout_ms":3000/"idle_timeout_ms":1500/; s/"max_in_flight":12/"max_in_flight":6/'
    sleep 0.7
    put_config cat
}

mixed leave 5 &
MIXED=$!
sleep 0.8
changes &
engine e1 '{"leaving":true}'
sleep 0.5
engine e2 '{"draining":true}'
engine p1 '{"draining":true}'
sleep 1.5
engine e1 '{"draining":true}'
wait $MIXED
sleep 2.5
engine e1 '{"gone":true}'
engine e2 '{"gone":true}'
engine p1 '{"gone":true}'
wait_streams
expect_none_cut leave "none of $(sent leave) is cut while servers leave beside changes"

mixed weights 4 &
MIXED=$!
sleep 0.5
changes &
post_admin object/versions/m1 '{"model":"m1","version":2}'
wait $MIXED
wait_streams
expect_none_cut weights "none of $(sent weights) is cut while new weights come beside changes"

mixed term 5 1 &
MIXED=$!
sleep 0.8
changes &
sleep 0.3
kill -TERM "${PIDS[relay-1]}"
wait $MIXED
wait_streams
expect_none_cut term "none of $(sent term) is cut while their host stops beside changes (those that come after its end aside)"
finish
