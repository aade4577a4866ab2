#!/usr/bin/env bash
# Guards against streams of the only software version that nobody can take up after all hosts lost power or were stopped at once.
. "$(dirname "$0")/stream-versions-lib.sh"
VERSION_1=(e1 e2 e3 e4)
VERSION_2=()
GATE_ADMIN=127.0.0.1:$((7700 + BASE))
gate_addr() { echo "127.0.0.1:$((7700 + BASE + $1))"; }
# gates true|false: whether callers that return reach the hosts
gates() { curl -s -o /dev/null --max-time 2 -d "{\"listen\":$1}" "http://$GATE_ADMIN/cut"; }
eval "$(declare -f relay_settings | sed '1s/relay_settings/base_settings/')"
relay_settings() { base_settings "$1" | sed 's/^stop_s = .*/stop_s = 2/'; }

# streams NAME: streams under way, which began 1 s ago and later
streams() {
    gates false
    clients "$1" 24 1 --events 120 --deadline 12000 --retries 3 --take-up-hosts "$(gate_addr 1),$(gate_addr 2),$(gate_addr 3)"
    sleep 1
}
# all_lose_power SECONDS: all hosts lose power and are back after so long
all_lose_power() {
    local host
    for host in 1 2 3; do stop relay-$host KILL; done
    sleep "$1"
    start_relays 3
}
# expect_on NAME: the callers return, and nine in ten streams go on
expect_on() {
    gates true
    wait_clients
    expect_versions "$1"
    local begun=$(figure "$1" begun) up=$(figure "$1" taken_up) on=$(figure "$1" went_on)
    expect "$1: streams are taken up again ($up)" [ "$up" -ge 12 ]
    expect "$1: nine in ten go on ($on of $begun)" [ $((10 * on)) -ge $((9 * begun)) ]
}

start_platform 4 1 || exit 1
for id in e1 e2 e3 e4; do engine $id '{"events":120,"gap_ms":50,"show_runs":true,"software":"v1.1","slots":64}'; done
run gate "$BUILD/fake-link" --admin "$GATE_ADMIN" --link "$(gate_addr 1),$(relay_addr 1)" \
    --link "$(gate_addr 2),$(relay_addr 2)" --link "$(gate_addr 3),$(relay_addr 3)"

# The hosts have just started for the first time.
start_relays 3 || exit 1
wait_daemons 3
sleep 1
streams young
all_lose_power 0.5
sleep 0.5
expect_on young
sleep 1

# For longer than a lease lasts.
streams long
all_lose_power 4
sleep 1
expect_on long
sleep 1

# Three times, each 1 s after all were back.
streams series
for loss in 1 2 3; do
    all_lose_power 0.5
    sleep 1
done
expect_on series
sleep 1

# They come back one by one.
streams one-by-one
for host in 1 2 3; do stop relay-$host KILL; done
sleep 1
for host in 1 2 3; do
    start_relay $host
    sleep 2
done
expect_on one-by-one
sleep 1

# All are told to stop.
streams stopped
for host in 1 2 3; do kill -TERM "${PIDS[relay-$host]}"; done
for host in 1 2 3; do stop relay-$host; done
sleep 0.5
start_relays 3
sleep 0.5
expect_on stopped
sleep 1

# The store is away when power is lost, and comes back after the hosts.
streams store-away
post_admin store '{"down":true}'
sleep 1
for host in 1 2 3; do stop relay-$host KILL; done
for host in 1 2 3; do start_relay $host; done
sleep 1
post_admin store '{"down":false}'
for host in 1 2 3; do wait_for "http://$(ready_addr $host)/readiness"; done
expect_on store-away
finish
