# Shared by the tests of streams over servers of two software versions: e1 and e2
# are of v1.1, e3 and e4 of v1.2, and events name the server and version of their run.
. "$(dirname "${BASH_SOURCE[0]}")/relay-lib.sh"
HOSTS=3
VERSION_1=(e1 e2)
VERSION_2=(e3 e4)

# start_versions: four engines, two of each version, and HOSTS daemons
start_versions() {
    local id
    start_platform 4 1 || return 1
    for id in e1 e2 e3 e4; do engine $id '{"events":60,"gap_ms":50,"show_runs":true}'; done
    for id in "${VERSION_1[@]}"; do engine "$id" '{"software":"v1.1"}'; done
    for id in "${VERSION_2[@]}"; do engine "$id" '{"software":"v1.2"}'; done
    start_relays $HOSTS || return 1
    wait_daemons $HOSTS
    sleep 2 # a daemon makes no retries just after its start
}

# hosts N…: the addresses of hosts, separated by commas
hosts() {
    local host list=
    for host in "$@"; do list="$list,$(relay_addr "$host")"; done
    echo "${list#,}"
}

# clients NAME RATE SECONDS [OPTION…]: clients in the background; their report goes
# to $OUT/NAME
clients() {
    local name=$1 rate=$2 seconds=$3
    shift 3
    "$BUILD/fake-streams" --hosts "$(hosts 1 2 3)" --name "$name" --rate "$rate" --seconds "$seconds" "$@" >"$OUT/$name" 2>&1 &
    CLIENTS+=($!)
}
CLIENTS=()
wait_clients() {
    wait "${CLIENTS[@]}"
    CLIENTS=()
}

# figure REPORT NAME: a count of a report
figure() { awk -v name="$2" '$1 == name { print $2 }' "$OUT/$1"; }

# expect_versions REPORT: no stream has events of two versions, or events out of order
expect_versions() {
    grep '^stream ' "$OUT/$1" | head -5
    echo "  $1: $(tr '\n' ' ' <<<"$(grep -v '^stream ' "$OUT/$1" | grep -v ' 0$')")"
    expect "$1: no stream has events of two versions ($(figure "$1" mixed) of $(figure "$1" begun))" [ "$(figure "$1" mixed)" = 0 ]
    expect "$1: no event is missing or comes twice ($(figure "$1" order_errors))" [ "$(figure "$1" order_errors)" = 0 ]
}

# expect_begun REPORT: nine new streams in ten begin
expect_begun() {
    expect "$1: new streams begin ($(figure "$1" begun) of $(figure "$1" opened))" \
        [ $(($(figure "$1" begun) * 10)) -ge $(($(figure "$1" opened) * 9)) ]
}

# expect_taken_up REPORT COUNT: of at least so many take-ups at hosts in touch, the
# share that goes on is half or more of the share of new streams that begin
expect_taken_up() {
    local up=$(figure "$1" taken_up_in_touch) on=$(figure "$1" went_on_in_touch)
    local opened=$(figure "$1" opened) begun=$(figure "$1" begun)
    expect "$1: streams are taken up again ($up)" [ "$up" -ge "$2" ]
    expect "$1: half of them go on ($on of $up)" [ $((2 * on * opened)) -ge $((up * begun)) ]
}

# start_two_services: as start_versions, with four engines more of a service llm2: e5
# and e6 are of v1.1, e7 and e8 of v1.2, unless LLM2_VERSION names that of them all
start_two_services() {
    local i
    for i in 5 6 7 8; do EXTRA_SERVERS+=(--server "e$i,llm2,$(server_addr $i),dc-a,engine"); done
    start_versions || return 1
    for i in 5 6 7 8; do
        engine "e$i" "{\"software\":\"${LLM2_VERSION:-v1.$((i / 7 + 1))}\",\"show_runs\":true}"
    done
    for i in 1 2 3 4 5 6 7 8; do engine "e$i" '{"events":60,"gap_ms":60}'; done
}
# add_service: completes a configuration with the service llm2, which is as llm otherwise
add_service() { sed 's#{"name":"llm",\(.*\)}\]}}\]#&@{"name":"llm2",\1}]}}]#; s#\]@#,#'; }

# configure VERSION SED_COMMAND: the configuration with the command applied, at all hosts
configure() {
    local n
    relay_config "$1" | add_service | sed "$2" >"$OUT/config-$1.json"
    post_admin object/config/main "@$OUT/config-$1.json"
    for ((n = 0; n < 60; n++)); do
        [ "$(grep -l "event=adopted.*version=$1 " "$OUT"/relay-*.log | wc -l)" = $HOSTS ] && return
        sleep 0.05
    done
    expect "all hosts have configuration $1" false
}
# set_field FIELD VALUE: the sed command that sets a field of a route
set_field() { echo "s#,\"$1\":[^,}]*##;s#,\"kind\"#,\"$1\":$2&#"; }
# change_review FIELD VALUE…: the sed command that changes the route of the streams
change_review() {
    local commands=
    while [ $# -gt 1 ]; do
        commands="$commands$(set_field "$1" "$2");"
        shift 2
    done
    echo "/\"name\":\"review\"/{$commands}"
}
# copy_review FIELD VALUE…: the sed command that adds a copy of that route with changes
copy_review() {
    local commands='s#"review"#"review-2"#;'
    while [ $# -gt 1 ]; do
        commands="$commands$(set_field "$1" "$2");"
        shift 2
    done
    echo "/\"name\":\"review\"/{h;$commands;G;}"
}

# change_under_streams NAME VERSION SED_COMMAND [OPTION…]: streams that break off and are
# taken up after a change of the configuration
change_under_streams() {
    local name=$1 version=$2 command=$3
    shift 3
    clients "$name" 8 2 --leave-after 45 --retries 5 "$@"
    sleep 1.5
    configure "$version" "$command"
    wait_clients
    expect_versions "$name"
}
# expect_go_on NAME VERSION SED_COMMAND [OPTION…]: such streams go on
expect_go_on() {
    change_under_streams "$@"
    expect_begun "$1"
    expect_taken_up "$1" 12
}
