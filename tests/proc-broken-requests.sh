#!/usr/bin/env bash
# Guards against requests with a broken head or broken chunks of which a server gets
# something else than was sent, and against callers that are held by them.
. "$(dirname "$0")/relay-lib.sh"
AT_ONCE_MS=500
start_platform 1 2 && start_relays 1 || exit 1
CHUNKED='Transfer-Encoding: chunked\r\n\r\n'
declare -A REST=(
    [line-lf]='X-A: b\n\nX-B: c\r\nContent-Length: 5\r\n\r\nhello'
    [line-lf-last]='Content-Length: 5\n\nhello'
    [line-lf-alone]='X-A: b\nContent-Length: 5\r\n\r\nhello'
    [line-cr]='Content-Length: 5\r\n\rxX-B: c\r\n\r\nhello'
    [value-nul]='X-A: \000b\r\nContent-Length: 5\r\n\r\nhello'
    [value-escape]='X-A: \033b\r\nContent-Length: 5\r\n\r\nhello'
    [value-key]='X-Celeryspool-Key: \033b\r\nContent-Length: 5\r\n\r\nhello'
    [value-folded]='X-A:\r\n b\r\nContent-Length: 5\r\n\r\nhello'
    [length-folded]='Content-Length:\r\n 5\r\n\r\nhello'
    [chunk-short]="${CHUNKED}5\r\nhello--5\r\nworld\r\n0\r\n\r\n"
    [chunk-cr]="${CHUNKED}5\r\nhello\rx0\r\n\r\n"
    [chunk-size-cr]="${CHUNKED}5\rxhello\r\n0\r\n\r\n"
    [chunk-size-two]="${CHUNKED}5 5\r\nhello\r\n0\r\n\r\n"
    [chunk-extension]="${CHUNKED}5;\001\r\nhello\r\n0\r\n\r\n"
    [trailer-lf]="${CHUNKED}5\r\nhello\r\n0\r\nX-A: b\n\nX-B: c\r\n\r\n"
    [trailer-blank]="${CHUNKED}5\r\nhello\r\n0\r\nX A: b\r\n\r\n"
    [coding-less]='Transfer-Encoding: chunke\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
    [coding-twice]='Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n'
    [length-twice]='Content-Length: 5\r\nContent-Length: 4\r\n\r\nhello'
    [length-coded]='Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello'
    [name-blank]='X A: b\r\nContent-Length: 5\r\n\r\nhello'
    [field-word]='word\r\nContent-Length: 5\r\n\r\nhello'
)
for name in "${!REST[@]}"; do
    head="POST /strike/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key1\r\nX-Celeryspool-Attempt-Id: $name\r\n"
    begun=$(now_ms)
    send_raw "$(relay_addr 1)" "$head${REST[$name]}" >"$OUT/$name" 2>/dev/null
    ms=$(($(now_ms) - begun))
    expect "$name: rejected with $(head -1 "$OUT/$name" | tr -d '\r\0')" grep -q '^HTTP/1.1 400 ' "$OUT/$name"
    expect "$name: once" [ "$(grep -ac '^HTTP/1.1 ' "$OUT/$name")" = 1 ]
    expect "$name: at once ($ms ms)" [ "$ms" -lt $AT_ONCE_MS ]
    expect "$name: no server gets it" [ "$(count_runs "$name")" = 0 ]
done
expect "a sound one is served" [ "$(request_status 1 /strike/x "${KEY1[@]}" -d hello)" = 200 ]
finish
