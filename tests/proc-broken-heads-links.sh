#!/usr/bin/env bash
# Guards against streams whose framing is taken for events, when the name of their
# coding is broken on their way.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
CODING='"rewrite":"Transfer-Encoding: chunked","with":"Transfer-Encoding: chunke"'
NONE='"rewrite":"","with":""'
CALLS_EACH=4
start_platform 4 2 && start_relays 2 || exit 1
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
for framing in CODING; do
    rewrite "$LINK_ADMIN" "${!framing}"
    calls "$framing" /review/x /flag/x /read/x /strike/x
    expect "servers, $framing: no success has another body ($(summary "$framing"))" [ "$(served "$framing")" = "$(whole "$framing")" ]
done
rewrite "$LINK_ADMIN" "$NONE"
ran=$(grep -lx 503 "$OUT"/CODING-* | while read -r file; do [ "$(count_runs "${file##*/}")" = 0 ] || echo "$file"; done | wc -l)
expect "none that has run is told that it has not ($ran)" [ "$ran" = 0 ]
sleep 5
calls after /review/x /flag/x /read/x /strike/x
expect "all are served behind that ($(summary after))" [ "$(whole after)" = 32 ]
finish
