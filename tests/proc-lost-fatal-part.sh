#!/usr/bin/env bash
# Guards against started streams that are taken from a silent server though a blocked part keeps them from all others.
. "$(dirname "$0")/lost-lib.sh"
start_lost 7 1 1 || exit 1
for n in 1 2 3 4 5 6 7; do engine e$n '{"events":4,"gap_ms":20}'; done
# The part must not be in most requests of the host.
for i in $(seq 1 24); do
    send_request 1 /flag/x "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: z$i:800,y$i:410,x$i:250" -d x >/dev/null &
    sleep 0.03
done
wait_streams
for n in 2 3 4 5 6; do engine e$n '{"events":40,"gap_ms":50,"fatal_part":"bad"}'; done
engine e7 '{"draining":true}'
for n in 2 3 4 5 6; do engine e$n '{"mode":"shed"}'; done
engine e1 '{"events":70,"gap_ms":50}'
sleep 0.5

bad_stream() {
    local i=$1
    {
        ID="kept-$i" send_request 1 "/review/kept" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,bad:410,k$i:250" -d x
        echo "exit $?"
    } >"$OUT/kept-$i" &
}
for i in 1 2 3; do bad_stream $i; done
sleep 0.3 # e1 alone has taken them
engine e1 '{"draining":true}'
for n in 2 3 4 5 6; do engine e$n '{"mode":"well"}'; done
sleep 0.2
for i in 1 2 3 4; do
    ID="ends-$i" send_request 1 /flag/x "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,bad:410,f$i:250" -d x >"$OUT/ends-$i" &
    sleep 0.2
done
wait_line "$OUT/relay-1.log" 'event=part-blocked' 4 && echo "    the part is blocked"
for n in 1 7; do engine e$n '{"draining":false,"events":60,"gap_ms":50}'; done
sleep 0.3
hold_link 0 hang
sleep 2.5
hold_link 0 none
wait_streams
grep -h 'event=failed id=kept' "$OUT"/relay-1.log | sed 's/.*id=/id=/' | cut -c1-160
echo "    crashes: $(grep -c '^crash' "$RECORD")"
expect "the part was blocked" grep -q 'event=part-blocked' "$OUT/relay-1.log"
expect_none_cut kept "no stream is cut while its server is silent and its part is blocked"
finish
