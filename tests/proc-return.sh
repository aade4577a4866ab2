#!/usr/bin/env bash
# Guards against hosts that end all at once and do not serve when they are back,
# because of what servers, the store or the configuration did meanwhile.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
HOSTS=${HOSTS:-4}
RELAY_DCS=([3]=dc-b [4]=dc-b [7]=dc-b [8]=dc-b [11]=dc-b [12]=dc-b)
start_platform 4 3 && start_relays $HOSTS || exit 1
for ((i = 1; i <= HOSTS; i++)); do relay_settings $i >"$OUT/relay-$i.ini"; done
version=1

# served NAME SECONDS: the share of 16 requests a second at each host that is served, per cent
served() {
    : >"$OUT/$1"
    send_load "$1" "$2"
    echo $(($(grep -c ^200 "$OUT/$1") * 100 / $(wc -l <"$OUT/$1")))
}
kill_all() {
    local i
    for ((i = 1; i <= HOSTS; i++)); do kill -"${1:-KILL}" "${PIDS[relay-$i]}"; done
    for ((i = 1; i <= HOSTS; i++)); do wait "${PIDS[relay-$i]}" 2>/dev/null; done
}
return_all() {
    local i
    for ((i = 1; i <= HOSTS; i++)); do run "relay-$i" "$BUILD/celeryspoold" --settings "$OUT/relay-$i.ini"; done
}
change_config() {
    version=$((version + 1))
    "${1:-relay_config}" $version >"$OUT/config-$version.json"
    post_admin object/config/main "@$OUT/config-$version.json"
}
large_config() {
    relay_config "$1" | awk 'NR == 1 { print; for (i = 0; i < 4000; i++) printf "{\"name\":\"r%d\",\"host\":\"a.example\",\"path_prefix\":\"/r%d/\",\"kind\":\"idempotent\",\"timeout_ms\":800,\"target_latency_ms\":100,\"attempts\":2,\"priority\":2,\"service\":\"desk\"},", i, i; next } { print }'
}
# check NAME: what is served from two seconds after the return, and the end of the trouble, on
check() {
    local share i running=0
    sleep 2
    share=$(served "$1" 3)
    expect "$1: $share % are served" [ "$share" -ge 90 ]
    for ((i = 1; i <= HOSTS; i++)); do kill -0 "${PIDS[relay-$i]}" 2>/dev/null && running=$((running + 1)); done
    expect "$1: no host has ended" [ $running = $HOSTS ]
}

kill_all
return_all
check "killed"

kill_all
for e in e1 e2 e3 e4 p1 p2 p3; do engine $e '{"restart":1500}'; done
return_all
sleep 1.5
check "all servers restart, cold"

kill_all
for e in e1 e2 e3 e4 p1 p2 p3; do engine $e "{\"former_entry\":\"former-$e\"}"; done
return_all
check "all servers are listed under former ids too"
for e in e1 e2 e3 e4 p1 p2 p3; do engine $e "{\"former_entry_gone\":\"former-$e\"}"; done

for ((i = 1; i <= HOSTS; i++)); do cut_host $i reset; done
kill_all
return_all
sleep 4
for ((i = 1; i <= HOSTS; i++)); do cut_host $i none; done
check "servers reset all new connections"

links_listen false
kill_all
return_all
sleep 4
links_listen true
check "servers accept no connection"

kill_all
change_config large_config
return_all
check "the configuration has 4,000 routes more"
expect "the hosts serve the last of them" [ "$(request_status 1 /r3999/x "${KEY1[@]}")" = 200 ]

kill_all
change_config
post_admin store '{"forget":true}'
return_all
change_config
check "the store has forgotten its history"

kill_all
post_admin store '{"lose":40}'
return_all
check "the store loses answers"

post_admin store '{"silent":true}'
kill_all
return_all
sleep 3
post_admin store '{"silent":false}'
check "the store falls silent"

for n in 1 2 3 4 5 6; do
    kill_all
    return_all
    sleep 0.2
done
check "killed six times"

kill_all TERM
return_all
check "stopped"
finish
