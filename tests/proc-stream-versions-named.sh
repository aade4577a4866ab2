#!/usr/bin/env bash
# Guards against streams that begin at a server which has started again with another version, before its entry says so, and cannot go on elsewhere once it does; and against a report for each stream.
. "$(dirname "$0")/stream-versions-lib.sh"
HOSTS=1
start_versions || exit 1
sleep 5 # the host has its part of the retries

# stream NAME: a stream that begins at e2
stream() {
    ID=$1 send_request 1 "/review/$1" "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x >"$OUT/$1"
}
# reports: how many the host requested for the origins of streams
reports() { curl -s "http://$(metrics_addr 1)/" | sed -n 's/^celeryspool_streams_origin_reports_total //p'; }

for id in e1 e2 e3 e4; do engine $id '{"events":40}'; done
for id in e1 e3 e4; do engine $id '{"mode":"shed"}'; done
# e2 starts again while no host can read its new entry, and no request of the host runs there.
post_admin store '{"down":true}'
engine e2 '{"software":"v1.2","restart":0}'
sleep 0.3
for n in 1 2 3; do stream s$n & done
expect "streams run at e2" wait_record '^run server=e2 uri=/review/s3 ' 3
sleep 0.5
# The host reads the new entry, and only other servers take the streams.
post_admin store '{"down":false}'
sleep 0.7
engine e1 '{"mode":"well"}'
engine e3 '{"mode":"well"}'
engine e2 '{"mode":"shed"}'
engine e2 '{"end_streams":1}'
wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
for n in 1 2 3; do
    expect "s$n has events of one version ($(grep -o 'software=[^ ]*' "$OUT/s$n" | sort | uniq -c | tr '\n' ' '))" \
        [ "$(grep -o 'software=[^ ]*' "$OUT/s$n" | sort -u)" = software=v1.2 ]
    expect "s$n is complete" [ "$(grep -c token- "$OUT/s$n")" = 40 ]
done
for n in 1 2 3; do
    expect "s$n went on at e3" wait_line "$OUT/relay-1.log" "event=end id=s$n .* outcome=answered .* server=e3 " 3
done
# Streams in a row use the connections that are open, of which no further report is needed.
for id in e1 e2 e3 e4; do engine $id '{"mode":"well","events":2}'; done
sleep 0.5
before=$(reports)
for n in $(seq 40); do stream row$n; done
after=$(reports)
expect "40 streams in a row need few reports ($((after - before)))" [ $((after - before)) -le 8 ]
finish
