#!/usr/bin/env bash
# Guards against a revoked key that still works, or a change that comes late,
# because a daemon follows the store through another daemon that is frozen, killed
# or partitioned. Of ten daemons two watch the store and eight follow them;
# whichever is lost, the others must adopt a change in time, only once, and never
# go back.
. "$(dirname "$0")/relay-lib.sh"
start_platform 2 1 && start_relays 10 || exit 1

version_of() { curl -s --max-time 1 "http://$(metrics_addr "$1")/metrics" | awk '/^celeryspool_config_version /{print $2}'; }
calls_of() { curl -s --max-time 1 "http://$(metrics_addr "$1")/metrics" | awk '/^celeryspool_store_calls_total /{print $2}'; }
# change VERSION RELAY…: writes a configuration to the store and prints the ms until
# all RELAYs have it
change() {
    local version=$1 relay begin
    shift
    relay_config "$version" >"$OUT/config-$version.json"
    begin=$(now_ms)
    post_admin object/config/main "@$OUT/config-$version.json"
    for relay in "$@"; do
        until [ "$(version_of "$relay")" = "$version" ] || [ $(($(now_ms) - begin)) -gt 8000 ]; do sleep 0.05; done
    done
    echo $(($(now_ms) - begin))
}

# The daemons discover each other within five seconds. One that meanwhile tried to
# follow a daemon that does not watch was rejected, and polls the store itself for
# five more.
sleep 12
declare -A before
for i in {1..10}; do before[$i]=$(calls_of $i); done
sleep 3
watchers=() followers=()
for i in {1..10}; do
    if [ "$(calls_of $i)" = "${before[$i]}" ]; then followers+=("$i"); else watchers+=("$i"); fi
done
expect "two daemons watch the store: ${watchers[*]}" [ ${#watchers[@]} = 2 ]
expect "eight make no call to the store" [ ${#followers[@]} = 8 ]

took=$(change 2 {1..10})
expect "a change is in force at all daemons after $took ms" [ "$took" -lt 1500 ]

# A watcher freezes: its followers detect this and ask the store.
kill -STOP "${PIDS[relay-${watchers[0]}]}"
others=$(printf '%s\n' {1..10} | grep -vx "${watchers[0]}")
took=$(change 3 $others)
expect "a change with a frozen watcher is in force after $took ms" [ "$took" -lt 2000 ]
kill -CONT "${PIDS[relay-${watchers[0]}]}"
sleep 1
expect "the resumed watcher has it too" [ "$(version_of "${watchers[0]}")" = 3 ]

# The other watcher is killed.
stop "relay-${watchers[1]}" KILL
others=$(printf '%s\n' {1..10} | grep -vx "${watchers[1]}")
took=$(change 4 $others)
expect "a change with a killed watcher is in force after $took ms" [ "$took" -lt 2000 ]

# The store is unreachable and comes back with a change, but without its history.
post_admin store '{"silent":true}'
sleep 2.5
post_admin store '{"silent":false,"forget":true}'
took=$(change 5 $others)
expect "a change after an outage is in force after $took ms" [ "$took" -lt 3500 ]
post_admin server/p1 '{"draining":true}'
sleep 1.5
: >"$RECORD"
for i in $others; do request_status "$i" /read/d "${KEY1[@]}"; done >/dev/null
expect "no daemon uses a draining server" [ "$(grep -c 'server=p1' "$RECORD")" = 0 ]
for i in $others; do grep -o 'event=adopted version=[0-9]*' "$OUT/relay-$i.log" | grep -o '[0-9]*$' | sort -c -n -u || echo "relay $i"; done >"$OUT/order" 2>&1
expect "no daemon adopted a version twice or went back" [ ! -s "$OUT/order" ]
finish
