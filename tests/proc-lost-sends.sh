#!/usr/bin/env bash
# Guards against started streams that are cut after twelve rejections, seconds before their deadline.
RETRY_SLACK=400
. "$(dirname "$0")/lost-lib.sh"
long_config() { relay_config "$1" | sed 's/"timeout_ms":[38]000/"timeout_ms":16000/'; }
start_lost 2 1 1 || exit 1
# patient NAME COUNT PATH: streams with the route's time of 16 s
patient() {
    local i
    for ((i = 1; i <= $2; i++)); do
        {
            curl -s --max-time 17 -w '\n%{http_code}\n' -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $1-$i" -H 'X-Celeryspool-Deadline-Milliseconds: 16000' "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: $1$i:800,b$1$i:410,c$1$i:250" -d x "http://$(relay_addr 1)$3"
            echo "exit $?"
        } >"$OUT/$1-$i" &
    done
}
engine e2 '{"mode":"shed"}'
sleep 0.2
patient moved 3 /review/moved
sleep 0.3
# e2 takes a request, so that nothing shows that it will reject others.
engine e1 '{"mode":"shed"}'
engine e2 '{"mode":"well"}'
for i in 1 2 3; do request_status 1 /review/taken "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x >/dev/null & done
sleep 0.3
engine e2 '{"mode":"shed"}'
hold_link 0 hang
sleep 2.2
hold_link 0 none
sleep 3
for n in 1 2; do engine e$n '{"mode":"well"}'; done
wait_streams
sleep 0.3
grep -h 'event=failed id=moved' "$OUT"/relay-1.log | sed 's/.*id=/id=/' | cut -c1-200
echo "    attempts that failed: $(grep -c 'event=send-failed id=moved-' "$OUT/relay-1.log")"
expect_none_cut moved "none is cut before its deadline since other servers reject it"
finish
