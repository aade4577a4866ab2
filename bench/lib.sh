# Shell functions that start and stop a complete deployment on loopback.
# Sourced by the demo, the process tests and the benchmarks.
set -u
BUILD=${BUILD:-build}
OUT=${OUT:-out}
BASE=${BASE:-0} # added to every port, so that parallel runs do not collide
SECRET=000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f
export CELERYSPOOL_KEY=operator-key
STORE=127.0.0.1:$((9001 + BASE))
SERVICE=127.0.0.1:$((9501 + BASE))
DCS=(dc-a dc-b dc-c)
declare -A PIDS=()
mkdir -p "$OUT"

engine_addr() { echo "127.0.0.1:$((9100 + BASE + $1))"; }
daemon_addr() { echo "127.0.0.1:$((8100 + BASE + $1))"; }
peer_addr() { echo "127.0.0.1:$((8200 + BASE + $1))"; }

# wait_for URL: wait until it answers 200; fails after 500 tries
wait_for() {
    local i
    for ((i = 0; i < 500; i++)); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "$1")" = 200 ] && return 0
        sleep 0.02
    done
    echo "no answer from $1" >&2
    return 1
}

# run NAME COMMAND…: start a background process and record its PID
run() {
    local name=$1
    shift
    "$@" >>"$OUT/$name.log" 2>&1 &
    PIDS[$name]=$!
}

start_store() { run store "$BUILD/fake-store" --listen "$STORE" "$@"; wait_for "http://$STORE/truth"; }
start_service() { run service "$BUILD/fake-service" --listen "$SERVICE"; wait_for "http://$SERVICE/truth"; }

# start_engines COUNT [OPTION…]: start fake engines and wait until they answer
start_engines() {
    local count=$1 i
    shift
    for ((i = 1; i <= count; i++)); do
        run "engine-$i" "$BUILD/fake-engine" --name "engine-$i" --listen "$(engine_addr "$i")" "$@"
    done
    for ((i = 1; i <= count; i++)); do wait_for "http://$(engine_addr "$i")/truth" || return 1; done
}

daemon_settings() {
    local i=$1 count=$2 j seeds=
    for ((j = 1; j <= count; j++)); do [ "$j" != "$i" ] && seeds="$seeds $(peer_addr "$j"),"; done
    cat <<EOF
[daemon]
name = router-$i
dc = ${DCS[$(((i - 1) % 3))]}
event_log = $OUT/router-$i.events
grace_ms = ${GRACE_MS:-300}
log_level = ${LOG_LEVEL:-info}
[listen]
http = $(daemon_addr "$i")
peer = $(peer_addr "$i")
[platform]
store = $STORE
[peers]
seeds = ${seeds%,}
[keys]
secret = $SECRET
operator = $CELERYSPOOL_KEY
EOF
}

# start_daemon I COUNT: start router-I, one of COUNT daemons
start_daemon() {
    daemon_settings "$1" "$2" >"$OUT/router-$1.ini"
    run "router-$1" "$BUILD/celeryspoold" --settings "$OUT/router-$1.ini"
}

start_daemons() {
    local i
    for ((i = 1; i <= $1; i++)); do start_daemon "$i" "$1"; done
    for ((i = 1; i <= $1; i++)); do wait_for "http://$(daemon_addr "$i")/healthz" || return 1; done
}

ctl() { "$BUILD/celeryspoolctl" --addr "${CTL:-$(daemon_addr 1)}" "$@"; }

# declare_all ENGINES MODEL [WORKSPACES]: write the configuration of a deployment
declare_all() {
    local engines=$1 model=$2 workspaces=${3:-8} i
    {
        echo "declare model $model version=v1 longest_s=20"
        echo "declare service desk idempotent=false longest_s=5"
        for ((i = 0; i < workspaces; i++)); do echo "declare workspace ws-$i key=key-$i share=1"; done
        for ((i = 1; i <= engines; i++)); do
            echo "declare backend engine-$i kind=engine serves=$model addr=$(engine_addr "$i") dc=${DCS[$(((i - 1) % 3))]} honours_fencing=true"
        done
        [ -n "${PIDS[service]:-}" ] &&
            echo "declare backend desk-1 kind=service serves=desk addr=$SERVICE dc=dc-a"
    } | ctl >"$OUT/declare.log" || { cat "$OUT/declare.log"; return 1; }
}

# wait_generation COUNT: wait until all daemons have adopted the first one's
# configuration generation
wait_generation() {
    local i tries expected actual
    expected=$(generation 1)
    for ((i = 1; i <= $1; i++)); do
        for ((tries = 0; tries < 400; tries++)); do
            actual=$(generation "$i")
            [ -n "$actual" ] && [ "$actual" -ge "$expected" ] && break
            sleep 0.02
        done
        [ "$tries" -lt 400 ] || return 1
    done
}

generation() { curl -s "http://$(daemon_addr "$1")/metrics" | awk '$1=="celeryspool_config_generation"{print $2}'; }

# control ADDR JSON: change a fake server's parameters or inject faults
control() { curl -s -o /dev/null -X POST -d "$2" "http://$1/control"; }

# stop NAME [SIGNAL]: stop a process and return its exit status
stop() {
    local pid=${PIDS[$1]:-}
    [ -n "$pid" ] || return 0
    kill "-${2:-TERM}" "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
    local status=$?
    unset "PIDS[$1]"
    return $status
}

# stop_all: resume paused processes, then stop daemons before the servers they use
stop_all() {
    local name
    for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null; case $name in router-*) kill -TERM "${PIDS[$name]}" 2>/dev/null ;; esac; done
    for name in "${!PIDS[@]}"; do case $name in router-*) stop "$name" ;; esac; done
    for name in "${!PIDS[@]}"; do stop "$name"; done
}

# targets COUNT: the addresses of the daemons, separated by commas
targets() {
    local i list=
    for ((i = 1; i <= $1; i++)); do list="$list,$(daemon_addr "$i")"; done
    echo "${list#,}"
}

# get FILE a.b.c: print a value of a JSON file
get() { "$BUILD/fake-check" get "$1" "$2"; }
truth() { curl -s "http://$1/truth"; }
load() { "$BUILD/fake-load" "$@"; }
