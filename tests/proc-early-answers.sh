#!/usr/bin/env bash
# Guards against parts of answers that look complete, when a server answers a long
# upload at once and breaks the answer off while it is still being sent.
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="part-reset length-reset length-closed chunks-reset chunks-closed events-reset"
start_platform 1 1 && start_relays 2 || exit 1
garbage_routes $KINDS >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
n=40
for kind in $KINDS; do start_bad_server $((n++)) "$kind"; done
for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$((n - 1)) " 3; done
head -c 60000 /dev/zero | tr '\0' a >"$OUT/short"
head -c 3000000 /dev/zero | tr '\0' b >"$OUT/long"

for kind in $KINDS; do
    CALLS=()
    for route in read strike stream; do
        for upload in short long; do
            for i in 1 2; do
                timed_call "$OUT/$kind-$route-$upload-$i" $i "/$route-$kind/x" --data-binary "@$OUT/$upload" -H 'Expect:' &
                CALLS+=($!)
            done
            timed_call "$OUT/$kind-$route-$upload-slow" 1 "/$route-$kind/x" --data-binary "@$OUT/$upload" -H 'Expect:' --limit-rate 6M &
            CALLS+=($!)
        done
    done
    wait "${CALLS[@]}"
    # A success is complete only if curl ends with 0.
    files=("$OUT/$kind"-*-[12] "$OUT/$kind"-*-slow)
    expect "$kind: no part looks complete ($(cut -d' ' -f1,2 "${files[@]}" | sort | uniq -c | xargs))" [ "$(grep -lE '^2.. 0 ' "${files[@]}" | wc -l)" = 0 ]
    expect "$kind: every caller has an answer or a broken one" [ "$(grep -lE '^(50[23] 0|2.. (18|56|52)) ' "${files[@]}" | wc -l)" = 18 ]
done
# An end without a reset is no proof of a complete answer, while the upload goes on.
start_bad_server 50 part-closed
garbage_routes part-closed | sed 's/"version":2/"version":3/' >"$OUT/config-3.json"
post_admin object/config/main "@$OUT/config-3.json"
for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-50 " 3; wait_line "$OUT/relay-$i.log" "adopted version=3" 3; done
head -c 4194304 /dev/zero | tr '\0' b >"$OUT/longest"
for route in read strike stream; do timed_call "$OUT/closed-$route" 1 "/$route-part-closed/x" --data-binary "@$OUT/longest" -H 'Expect:'; done
expect "part-closed: no part looks complete ($(cut -d' ' -f1,2 "$OUT"/closed-{read,strike,stream} | xargs))" [ "$(grep -lE '^2.. 0 ' "$OUT"/closed-{read,strike,stream} | wc -l)" = 0 ]
expect "the hosts serve" [ "$(request_status 1 /read/x "${KEY1[@]}") $(request_status 2 /read/x "${KEY1[@]}")" = "200 200" ]
finish
