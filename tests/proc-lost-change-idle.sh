#!/usr/bin/env bash
# Guards against callers who get no answer beside a change of the limits of connections.
. "$(dirname "$0")/lost-lib.sh"
start_platform 1 1 || exit 1
trap '' PIPE # a closed connection is a result here
VERSION=1
# put_limits IDLE_MS HEAD_MS: a configuration with these limits
put_limits() {
    VERSION=$((VERSION + 1))
    relay_config $VERSION | sed "s/\"idle_timeout_ms\":3000/\"idle_timeout_ms\":$1/; s/\"header_timeout_ms\":600/\"header_timeout_ms\":$2/; s/\"timeout_ms\":800/\"timeout_ms\":8000/g" >"$OUT/config-$VERSION.json"
    post_admin object/config/main "@$OUT/config-$VERSION.json"
}
put_limits 1000 600
start_relays 1 || exit 1
sleep 1

# kept NAME PAUSE: a request, a pause, and another one on the same connection
kept() {
    local first= second= request="POST /read/x HTTP/1.1\r\nHost: a.example\r\nX-Celeryspool-Attempt-Id: $1\r\nAuthorization: Token key1\r\nContent-Length: 1\r\n\r\nx"
    exec 9<>"/dev/tcp/127.0.0.1/$(relay_addr 1 | cut -d: -f2)"
    printf "$request" >&9 2>/dev/null
    read -r -t 3 first <&9 2>/dev/null
    timeout 0.2 cat <&9 >/dev/null
    sleep "$2"
    printf "$request" >&9 2>/dev/null
    read -r -t 3 second <&9 2>/dev/null
    echo "${first:-none} ${second:-none}" | tr -d '\r' >"$OUT/$1"
    exec 9>&-
}
# pieces NAME PAUSE COUNT: a body in pieces with pauses between them
pieces() {
    local i first=
    exec 9<>"/dev/tcp/127.0.0.1/$(relay_addr 1 | cut -d: -f2)"
    printf "POST /read/x HTTP/1.1\r\nHost: a.example\r\nX-Celeryspool-Attempt-Id: $1\r\nAuthorization: Token key1\r\nContent-Length: $3\r\n\r\n" >&9
    for ((i = 0; i < $3; i++)); do
        sleep "$2"
        printf x >&9 2>/dev/null
    done
    read -r -t 3 first <&9 2>/dev/null
    echo "${first:-none}" | tr -d '\r' >"$OUT/$1"
    exec 9>&-
}
# ended NAME PATTERN: of the callers of a name, those whose lines match
ended() { cat "$OUT/$1"-[0-9]* | grep -c "$2"; }
answered() { [ "$(ended "$1" "$2")" = 8 ]; }

for ((i = 1; i <= 8; i++)); do
    kept unchanged-$i 0.5 &
    pieces bodies-$i 0.7 4 &
done
wait_streams
expect "kept connections serve the next request within the limit ($(ended unchanged '200.*200'))" answered unchanged '200.*200'
expect "and a body comes in pieces within it ($(ended bodies 200))" answered bodies 200

# The limit grows just after the first answers and the first pieces.
for ((i = 1; i <= 8; i++)); do
    kept longer-$i 1.2 &
    pieces longer-bodies-$i 1.4 3 &
done
sleep 0.4
put_limits 4000 600
wait_streams
echo "    $(cat "$OUT"/longer-[0-9]* | sort | uniq -c | tr '\n' ';') $(cat "$OUT"/longer-bodies-[0-9]* | sort | uniq -c | tr '\n' ';')"
expect "a longer limit holds for connections that are open" answered longer '200.*200'
expect "and for bodies that have begun" answered longer-bodies 200

# The limit shrinks while requests and bodies are under way.
for ((i = 1; i <= 8; i++)); do
    kept shorter-$i 0.8 &
    pieces shorter-bodies-$i 0.6 5 &
done
sleep 0.5
put_limits 1000 600
wait_streams
echo "    $(cat "$OUT"/shorter-[0-9]* | sort | uniq -c | tr '\n' ';') $(cat "$OUT"/shorter-bodies-[0-9]* | sort | uniq -c | tr '\n' ';')"
expect "a shorter one cuts nothing within it" answered shorter '200.*200'
expect "nor bodies" answered shorter-bodies 200
finish
