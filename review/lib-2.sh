# Shared by the scripts of the cases: a small deployment on loopback with the
# daemon of the deploy file, and the project's stand-ins in front and behind it.
# A script sources this file, starts what it needs and ends with `verdict`.
#
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
cd "$CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d) || exit 2
RECORD=$CASE/record.txt
RUNS=$WORK/runs # what the servers ran
: >"$RECORD"
: >"$RUNS"
PIDS=()

# Ends the processes that the script started, by their ids.
cleanup() {
    local pid
    exec 2>/dev/null # the shell tells of each process that is killed
    for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP

note() { echo "$(date +%s%3N) $*" | tee -a "$RECORD"; }
cannot_run() {
    note "cannot run: $*"
    exit 2
}

# run NAME COMMAND…: starts a process; its output goes to $WORK/NAME.log
run() {
    local name=$1
    shift
    "$@" >>"$WORK/$name.log" 2>&1 &
    PIDS+=($!)
    LAST_PID=$!
}

is_open() { (exec 8<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
# A block of 128 ports below the ephemeral ones, none of which is in use.
pick_ports() {
    local try i
    for try in 1 2 3 4 5 6 7 8 9 10; do
        PORT=$((12000 + (RANDOM % 85) * 128))
        for ((i = 0; i < 128; i++)); do is_open $((PORT + i)) && continue 2; done
        return 0
    done
    return 1
}
pick_ports || cannot_run "no free ports"

STORE=127.0.0.1:$PORT
LINKS=127.0.0.1:$((PORT + 1))
front() { echo "127.0.0.1:$((PORT + 4 + $1))"; }
ready() { echo "127.0.0.1:$((PORT + 14 + $1))"; }
peer() { echo "127.0.0.1:$((PORT + 24 + $1))"; }
metrics() { echo "127.0.0.1:$((PORT + 34 + $1))"; }
server() { echo "127.0.0.1:$((PORT + 48 + $1))"; } # where it listens
link() { echo "127.0.0.1:$((PORT + 88 + $1))"; }   # where clients reach it

# http ADDR METHOD PATH [BODY]: prints the answer, head and body
http() {
    local body=${4:-}
    exec 9<>"/dev/tcp/${1%:*}/${1#*:}" || return 1
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' "$2" "$3" "$1" "${#body}" "$body" >&9
    timeout 3 cat <&9
    exec 9>&-
} 2>/dev/null
platform() { http "$STORE" POST "/admin/$1" "$2" >/dev/null; }
# engine ID COMMAND
engine() { platform "server/$1" "$2"; }
# wait_for ADDR PATH: until it answers 200
wait_for() {
    local i
    for ((i = 0; i < 300; i++)); do
        http "$1" GET "$2" | head -1 | grep -q ' 200 ' && return 0
        sleep 0.05
    done
    return 1
}

# With LINKED=1 daemons reach servers through links, each from an address of its own.
LINKED=${LINKED:-0}
machine_ip() { echo "127.0.0.$((10 + $1))"; }
# cut_machine N hang|reset|refuse|none: cuts a machine off from all servers
cut_machine() { http "$LINKS" POST /cut "{\"source\":\"$(machine_ip "$1")\",\"how\":\"$2\"}" >/dev/null; }
source_line() { [ "$LINKED" = 0 ] || echo "s/^metrics = .*/&\nsource = $(machine_ip "$1")/"; }

# settings N: deploy/celeryspool.ini.template, filled in for a small deployment
settings() {
    sed -e "s/{{node_name}}/edge-$1/; s/{{zone}}/zone-a/; s/{{listen_addresses.front}}/$(front "$1")/" \
        -e "s/{{listen_addresses.readiness}}/$(ready "$1")/" \
        -e "s/{{ip_address}}:{{internal_port_range.0}}/$(peer "$1")/" \
        -e "s/{{ip_address}}:{{internal_port_range.1}}/$(metrics "$1")/" \
        -e "s/{{platform.address}}/$STORE/; s/{{#seeds}}.*{{\/seeds}}//" \
        -e "s/{{bounds.grace_s}}/8/; s/{{bounds.retry_budget_ratio}}/0.2/" \
        -e "s/{{bounds.retry_budget_slack}}/52/; s/{{bounds.budget_window_s}}/10/" \
        -e "/{{#bounds.quota/d; s/{{#limits.memory_mb}}.*/memory_mb = 260/" \
        -e "s/{{#limits.link_mbps}}.*/link_mbps = 1000/; s/{{bounds.lease_ms}}/3000/" \
        -e "s/{{#limits.file_descriptors}}.*/descriptors = 4100/" \
        -e "s/{{bounds.version_ms}}/10000/" -e "$(source_line "$1")" deploy/celeryspool.ini.template
}
start_daemon() {
    settings "$1" >"$WORK/edge-$1.ini"
    grep -q '{{' "$WORK/edge-$1.ini" && cannot_run "the template has new fields"
    CELERYSPOOL_CONFIG=$WORK/edge-$1.ini run "edge-$1" target/celeryspoold
    DAEMON_PID[$1]=$LAST_PID
}
declare -A DAEMON_PID=()
# start_daemons N: and waits until they are ready and know each other
start_daemons() {
    local i n
    for ((i = 1; i <= $1; i++)); do start_daemon "$i"; done
    for ((i = 1; i <= $1; i++)); do
        wait_for "$(ready "$i")" /readiness || cannot_run "daemon $i is not ready"
        for ((n = 0; n < 200; n++)); do
            http "$(metrics "$i")" GET /metrics | tr -d '\r' | grep -qx "celeryspool_daemons $1" && break
            sleep 0.05
        done
    done
}

# Keeps what the servers ran, then ends the script.
verdict() { # BROKEN REASON
    [ -n "${KEEP:-}" ] && cp "$WORK"/* "$KEEP"
    { echo "--- run by the servers"; cat "$RUNS"; } >>"$RECORD"
    if [ "$1" = yes ]; then note "BROKEN: $2"; exit 1; fi
    note "held: $2"
    exit 0
}
