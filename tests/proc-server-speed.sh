#!/usr/bin/env bash
# Guards against hosts that learn each engine's speed alone, and against one that starts without it.
. "$(dirname "$0")/relay-lib.sh"
start_platform 3 0 && start_relays 3 || exit 1
wait_daemons 3

# ask HOST NAME COUNT: prompts that nothing is cached of, one after the other
ask() {
    local i
    for ((i = 0; i < $3; i++)); do
        ID=$2-$1-$i request_status "$1" /review/x "${KEY1[@]}" -H 'X-Celeryspool-Model: m1' \
            -H "X-Celeryspool-Token-Usage: $((1500 + i * 20)),80" \
            -H "X-Celeryspool-Prompt-Prefix: a-$2-$1-$i:800,b-$2-$1-$i:410,c-$2-$1-$i:$((290 + i * 20))" >>"$OUT/$2"
    done
}
# told HOST: the source of what a host knows of the slow engine's ratio
told() { sed -n 's/.*event=speed server=e3 ratio=\(1\.[1-9]\|[2-9]\).* source=\([a-z]*\).*/\2/p' "$OUT/relay-$1.log" | tail -1; }

for i in 1 2; do engine e$i '{"first_ms":40,"events":1}'; done
engine e3 '{"first_ms":120,"events":1}'
ask 1 silent 20
expect "without a pace no speed is logged" [ "$(cat "$OUT"/relay-*.log | grep -c 'event=speed')" = 0 ]
for i in 1 2 3; do engine e$i '{"pace":100}'; done
ask 3 heard 1
ask 1 one 60 &
ask 2 one 60 &
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
expect "all prompts are answered" [ "$(grep -c '^200' "$OUT/one")" = 120 ]
wait_line "$OUT/relay-3.log" 'event=speed server=e3 .*source=peer' 5
expect "a host that has sent nothing there is told of the slow engine" [ "$(told 3)" = peer ]
wait_line "$OUT/relay-3.log" 'event=load-speed server=e3 ratio=(1\.[1-9]|[2-9])' 5
expect "and sees by what others have there that it is slow" grep -qE 'event=load-speed server=e3 ratio=(1\.[1-9]|[2-9])' "$OUT/relay-3.log"
expect "one that has sent prompts knows the rate of the service" \
    awk '{ exit !($2 > 5 && $2 < 500) }' <(curl -s "http://$(metrics_addr 1)/" | grep prefill_tokens_per_ms)

start_relay 4 && wait_for "http://$(ready_addr 4)/readiness"
wait_daemons 4
ask 4 started 1
ask 1 two 20
wait_line "$OUT/relay-4.log" 'event=speed server=e3' 5
expect "a host that starts is told as well" grep -q 'event=speed server=e3 .*source=peer' "$OUT/relay-4.log"
finish
