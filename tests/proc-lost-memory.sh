#!/usr/bin/env bash
# Guards against a host that runs out of memory, and loses all its callers, over bodies that are not complete yet.
# Freed memory that AddressSanitizer holds back is not the daemon's.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1:thread_local_quarantine_size_kb=64"
. "$(dirname "$0")/lost-lib.sh"
start_platform 1 1 || exit 1
relay_config 2 | sed 's/"max_body_bytes":65536/"max_body_bytes":4194304/; s/"timeout_ms":800/"timeout_ms":8000/g' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 || exit 1
sleep 1
head -c 4194303 /dev/zero | tr '\0' x >"$OUT/most"
peak_mb() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/${PIDS[relay-1]}/status"; }
echo "    before: $(peak_mb) MB"

trap '' PIPE # an answer may come, and its connection end, before the last byte is sent
# slow_body N: all of a body but its last byte, which comes later
slow_body() {
    exec 9<>"/dev/tcp/127.0.0.1/$(relay_addr 1 | cut -d: -f2)"
    printf 'POST /read/x HTTP/1.1\r\nHost: a.example\r\nX-Celeryspool-Attempt-Id: slow-%s\r\nAuthorization: Token key1\r\nContent-Length: 4194304\r\nConnection: close\r\n\r\n' "$1" >&9
    cat "$OUT/most" >&9
    sleep 2
    printf x >&9 2>/dev/null
    timeout 6 head -c 400 <&9 | head -1 >"$OUT/slow-$1"
    exec 9>&-
}
for ((i = 1; i <= 60; i++)); do slow_body $i & done
sleep 1.9
echo "    60 bodies of 4 MB without their last bytes: $(peak_mb) MB"
wait_streams
echo "    afterwards: $(peak_mb) MB; $(cat "$OUT"/slow-* | cut -c1-12 | sort | uniq -c | tr '\n' ' ')"
expect "the host still runs" kill -0 "${PIDS[relay-1]}"
expect "and has used less than 200 of 256 MB ($(peak_mb))" [ "$(peak_mb)" -lt 200 ]
expect "each caller has an answer" [ "$(cat "$OUT"/slow-* | grep -c '^HTTP/1.1')" = 60 ]
finish
