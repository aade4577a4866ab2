# Shared by the tests of the relay: a stand-in of the platform with its backend
# servers, and daemons in relay mode in front of it.
. "$(dirname "${BASH_SOURCE[0]}")/proc-lib.sh"
PLATFORM_STORE=127.0.0.1:$((7001 + BASE))
RECORD=$OUT/record
: >"$RECORD"

server_addr() { echo "127.0.0.1:$((7100 + BASE + $1))"; }
relay_addr() { echo "127.0.0.1:$((7200 + BASE + $1))"; }
ready_addr() { echo "127.0.0.1:$((7300 + BASE + $1))"; }
metrics_addr() { echo "127.0.0.1:$((7500 + BASE + $1))"; }
relay_peer_addr() { echo "127.0.0.1:$((7400 + BASE + $1))"; }
# Data centres of hosts that are not in dc-a, by number.
RELAY_DCS=()
# With LINKED=1 hosts reach servers through links, each from an address of its own.
LINKED=${LINKED:-0}
link_addr() { echo "127.0.0.1:$((7600 + BASE + $1))"; }
LINK_ADMIN=127.0.0.1:$((7600 + BASE))
host_ip() { echo "127.0.0.$((10 + $1))"; }
# cut_host HOST hang|reset|refuse|none: cuts a host off from all servers
cut_host() { curl -s -o /dev/null --max-time 2 -d "{\"source\":\"$(host_ip "$1")\",\"how\":\"$2\"}" "http://$LINK_ADMIN/cut"; }
# links_listen true|false: whether servers accept new connections, from any host
links_listen() { curl -s -o /dev/null --max-time 2 -d "{\"listen\":$1}" "http://$LINK_ADMIN/cut"; }

# relay_config VERSION: five routes, two services, two workspaces
relay_config() {
    cat <<JSON
{"version":$1,"routes":[
 {"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"attempts":2,"priority":2,"service":"desk"},
 {"name":"strike","host":"a.example","path_prefix":"/strike/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":100,"attempts":1,"priority":2,"service":"desk"},
 {"name":"open","host":"a.example","path_prefix":"/open/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"attempts":2,"priority":2,"public":true,"service":"desk"},
 {"name":"review","host":"a.example","path_prefix":"/review/","kind":"streaming","timeout_ms":8000,"target_latency_ms":1000,"target_gap_ms":800,"attempts":2,"resumable":true,"priority":1,"service":"llm"},
 {"name":"flag","host":"a.example","path_prefix":"/flag/","kind":"streaming","timeout_ms":3000,"target_latency_ms":1000,"target_gap_ms":800,"attempts":1,"resumable":false,"priority":0,"service":"llm"}],
"services":[{"name":"desk","health_check_path":"/health"},{"name":"llm","health_check_path":"/health","engine":{"slots":8,"cache_capacity":90000,"max_in_flight":12,"models":[{"name":"m1"}]}}],
"limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_ms":600,"idle_timeout_ms":3000},
"tenants":[{"name":"ws1","access_keys":["key1","old-key"],"isolated":true},{"name":"ws2","access_keys":["key2"]}]}
JSON
}
# hold_link N hang|none: holds back what a server's link carries; N counts from 0
hold_link() { curl -s -o /dev/null --max-time 2 -d "{\"link\":$1,\"how\":\"$2\"}" "http://$LINK_ADMIN/cut"; }

# wait_line FILE PATTERN SECONDS: waits for a line of a file
wait_line() {
    local n
    for ((n = 0; n < $3 * 20; n++)); do
        grep -qE "$2" "$1" && return 0
        sleep 0.05
    done
    return 1
}
wait_record() { wait_line "$RECORD" "$@"; }

post_admin() { curl -s -o /dev/null --max-time 2 -d "$2" "http://$PLATFORM_STORE/admin/$1"; }

# engine ID COMMAND
engine() { post_admin "server/$1" "$2"; }

linked_entry() { [ "$LINKED" = 0 ] || echo ",$(link_addr "$1")"; }

# start_platform ENGINES PLAIN_SERVERS: EXTRA_SERVERS holds further arguments
start_platform() {
    local args=("${EXTRA_SERVERS[@]}") links=() i
    for ((i = 1; i <= $1; i++)); do
        args+=(--server "e$i,llm,$(server_addr "$i"),dc-a,engine$(linked_entry "$i")")
        links+=(--link "$(link_addr "$i"),$(server_addr "$i")")
    done
    for ((i = 21; i <= 20 + $2; i++)); do
        args+=(--server "p$((i - 20)),desk,$(server_addr $i),dc-a,plain$(linked_entry $i)")
        links+=(--link "$(link_addr $i),$(server_addr $i)")
    done
    [ "$LINKED" = 0 ] || run link "$BUILD/fake-link" --admin "$LINK_ADMIN" "${links[@]}"
    run platform "$BUILD/fake-platform" --store "$PLATFORM_STORE" --record "$RECORD" "${args[@]}"
    wait_for "http://$PLATFORM_STORE/objects/servers" || return 1
    relay_config 1 >"$OUT/config-1.json"
    post_admin object/config/main "@$OUT/config-1.json"
    post_admin object/versions/m1 '{"model":"m1","version":1}'
}

# limited_config VERSION UNIT RATE BURST: relay_config with a limit for ws1
limited_config() {
    relay_config "$1" | sed "s/{\"name\":\"ws1\"/&,\"unit\":\"$2\",\"rate_per_s\":$3,\"burst\":$4,\"uncached_tokens\":200/"
}

relay_settings() {
    cat <<INI
[daemon]
name = relay-$1
dc = ${RELAY_DCS[$1]:-dc-a}
mode = relay
[listen]
http = $(relay_addr "$1")
ready = $(ready_addr "$1")
peer = $(relay_peer_addr "$1")
metrics = $(metrics_addr "$1")
$([ "$LINKED" = 0 ] || echo "source = $(host_ip "$1")")
[platform]
store = ${RELAY_STORE:-$PLATFORM_STORE}
[relay]
stop_s = 8
retry_ratio = 0.2
retry_slack = ${RETRY_SLACK:-400}
retry_window_s = 10
lease_ms = 3000
weights_ms = 10000
INI
}

start_relay() {
    relay_settings "$1" >"$OUT/relay-$1.ini"
    run "relay-$1" "$BUILD/celeryspoold" --settings "$OUT/relay-$1.ini"
}

start_relays() {
    local i
    for ((i = 1; i <= $1; i++)); do start_relay "$i"; done
    for ((i = 1; i <= $1; i++)); do wait_for "http://$(ready_addr "$i")/readiness" || return 1; done
}

# wait_daemons COUNT: waits until the daemons 1 to COUNT know each other
wait_daemons() {
    local i n
    for ((i = 1; i <= $1; i++)); do
        for ((n = 0; n < 200; n++)); do
            [ "$(curl -s "http://$(metrics_addr "$i")/" | sed -n 's/^celeryspool_daemons //p')" = "$1" ] && break
            sleep 0.05
        done
    done
}

# send_request RELAY PATH [CURL OPTION…]: prints the body, then a line with the status
send_request() {
    local relay=$1 path=$2
    shift 2
    ID=${ID:-$(date +%s%N)$RANDOM}
    local deadline=${DEADLINE_MS:-5000}
    curl -s --max-time $((deadline / 1000 + 1)) -w '\n%{http_code}\n' -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $ID" \
        -H "X-Celeryspool-Deadline-Milliseconds: $deadline" "$@" "http://$(relay_addr "$relay")$path"
    local code=$?
    ID=
    return $code
}
request_status() { send_request "$@" | tail -1; }
KEY1=(-H 'Authorization: Token key1')
KEY2=(-H 'Authorization: Token key2')
LLM_HEADERS=(-H 'X-Celeryspool-Model: m1' -H 'X-Celeryspool-Token-Usage: 1460,80' -H 'X-Celeryspool-Prompt-Prefix: aa:800,bb:410,cc:250')
# send_raw ADDR TEXT: sends bytes unchanged and prints the response
send_raw() {
    local host=${1%:*} port=${1#*:}
    exec 9<>"/dev/tcp/$host/$port" || return
    printf "$2" >&9
    timeout 2 head -c 400 <&9
    exec 9>&-
}
count_runs() { grep -c "run .*X-Celeryspool-Attempt-Id=$1 " "$RECORD"; }

# send_load NAME SECONDS: 16 requests a second at each of HOSTS daemons; a line in
# $OUT/NAME for each with its status and Retry-After
send_load() {
    local host
    for ((host = 1; host <= HOSTS; host++)); do send_load_to "$host" "$1" "$2" & done
    wait $(jobs -p | grep -vxF "$(printf '%s\n' "${PIDS[@]}")")
}
send_load_to() {
    local i calls=()
    for ((i = 0; i < $3 * 16; i++)); do
        curl -s -o /dev/null --max-time 3 -w '%{http_code} %header{retry-after}\n' -H 'Host: a.example' \
            -H "X-Celeryspool-Attempt-Id: $2-$1-$i" -H 'X-Celeryspool-Deadline-Milliseconds: 2000' "${KEY1[@]}" \
            "http://$(relay_addr "$1")/read/x" >>"$OUT/$2" &
        calls+=($!)
        sleep 0.06
    done
    wait "${calls[@]}"
}
