#!/usr/bin/env bash
# Guards against streams and the store's answers that are taken for what they are not,
# when what frames all answers of servers or of the store is broken on their way.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
RELAY_STORE=127.0.0.1:$((7691 + BASE))
STORE_LINK=127.0.0.1:$((7690 + BASE))
CODING='"rewrite":"Transfer-Encoding: chunked","with":"Transfer-Encoding: chunke"'
LINE='"rewrite":"Content-Length: ","with":"X-A: b\n\nContent-Length: "'
EMPTY='"rewrite":"Content-Length: ","with":"Content-Length: 0\n\nX-B: "'
NONE='"rewrite":"","with":""'
CALLS_EACH=4
start_platform 4 2
run store-link "$BUILD/fake-link" --admin "$STORE_LINK" --link "$RELAY_STORE,$PLATFORM_STORE"
wait_for "http://$RELAY_STORE/objects/servers" && start_relays 2 || exit 1
sleep 2.2 # a daemon makes no retries just after its start
rewrite() { curl -s -o /dev/null --max-time 2 -d "{$2}" "http://$1/cut"; }

# calls NAME PATH…: CALLS_EACH calls of each path at both hosts, "exit N" behind each
calls() {
    local name=$1 path host n id started=()
    shift
    for path in "$@"; do
        for host in 1 2; do
            for ((n = 1; n <= CALLS_EACH; n++)); do
                id=$name${path//\//-}-$host-$n
                {
                    ID=$id send_request $host "$path" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$RANDOM:410" -d x
                    echo "exit $?"
                } >"$OUT/$id" &
                started+=($!)
            done
        done
    done
    wait "${started[@]}"
}
served() { grep -lx 200 "$OUT/$1"-* | xargs -r grep -lx 'exit 0' | wc -l; }
whole() { grep -lx 200 "$OUT/$1"-* | xargs -r grep -lE '^(id: 8|answer of p[12])$' | wc -l; }
summary() { for file in "$OUT/$1"-*; do tail -2 "$file" | xargs; done | sort | uniq -c | xargs; }

calls before /review/x /flag/x /read/x /strike/x
expect "all are served before ($(summary before))" [ "$(whole before)" = 32 ]
for framing in CODING LINE EMPTY; do
    rewrite "$LINK_ADMIN" "${!framing}"
    calls "$framing" /review/x /flag/x /read/x /strike/x
    expect "servers, $framing: no success has another body ($(summary "$framing"))" [ "$(served "$framing")" = "$(whole "$framing")" ]
done
rewrite "$LINK_ADMIN" "$NONE"
ran=$(grep -lx 503 "$OUT"/{CODING,LINE,EMPTY}-* | while read -r file; do [ "$(count_runs "${file##*/}")" = 0 ] || echo "$file"; done | wc -l)
expect "none that has run is told that it has not ($ran)" [ "$ran" = 0 ]
sleep 5
calls after /review/x /flag/x /read/x /strike/x
expect "all are served behind that ($(summary after))" [ "$(whole after)" = 32 ]

version=2
for framing in LINE EMPTY; do
    rewrite "$STORE_LINK" "${!framing}"
    relay_config $version >"$OUT/config-$version.json"
    post_admin object/config/main "@$OUT/config-$version.json"
    sleep 1.5
    calls "store-$framing" /read/x /strike/x /review/x
    expect "store, $framing: all are served ($(summary "store-$framing"))" [ "$(whole "store-$framing")" = 24 ]
    expect "store, $framing: nothing is read from its answers" [ "$(cat "$OUT"/relay-[12].log | grep -c "adopted version=$version")" = 0 ]
    rewrite "$STORE_LINK" "$NONE"
    for i in 1 2; do
        expect "store, $framing: host $i adopts the configuration" wait_line "$OUT/relay-$i.log" "adopted version=$version" 5
    done
    version=$((version + 1))
done
calls last /read/x /strike/x /review/x
expect "all are served at last ($(summary last))" [ "$(whole last)" = 24 ]
finish
