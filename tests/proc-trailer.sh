#!/usr/bin/env bash
# Guards against requests whose trailer ends the daemon, or is taken for headers.
. "$(dirname "$0")/relay-lib.sh"
start_platform 0 2 && start_relays 1 || exit 1
sleep 0.5
for n in 1 2 3 4; do
    send_raw "$(relay_addr 1)" "POST /read/x HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\nX-Celeryspool-Attempt-Id: t$n\r\nX-Celeryspool-Deadline-Milliseconds: 2000\r\nAuthorization: Token key1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Celeryspool-Prompt-Prefix: aa:800\r\nHost: other\r\nX-Trailer: 12345678901234567890\r\n\r\n" >"$OUT/answer-$n"
done
expect "requests with a trailer are answered" [ "$(cat "$OUT"/answer-? | grep -c '^HTTP/1.1 200')" = 4 ]
expect "they run without it" [ "$(grep -c 'run .*body=3 .*X-Celeryspool-Prompt-Prefix=-' "$RECORD")" = 4 ]
expect "the daemon still runs" kill -0 "${PIDS[relay-1]}"
finish
