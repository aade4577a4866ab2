# Shared by the tests with broken backend servers (fake-garbage) behind routes of
# their own: one service, bad-NAME, and routes of each kind at /KIND-NAME/.

GARBAGE_TIMEOUT_MS=${GARBAGE_TIMEOUT_MS:-3000}
GARBAGE_ATTEMPTS=${GARBAGE_ATTEMPTS:-1}

# garbage_routes NAME…: relay_config with routes to these services, and long bodies
garbage_routes() {
    local name routes= services=
    for name in "$@"; do
        routes+="{\"name\":\"read-$name\",\"host\":\"a.example\",\"path_prefix\":\"/read-$name/\",\"kind\":\"idempotent\",\"timeout_ms\":$GARBAGE_TIMEOUT_MS,\"target_latency_ms\":500,\"attempts\":$GARBAGE_ATTEMPTS,\"priority\":2,\"service\":\"bad-$name\"},"
        routes+="{\"name\":\"strike-$name\",\"host\":\"a.example\",\"path_prefix\":\"/strike-$name/\",\"kind\":\"non_idempotent\",\"timeout_ms\":$GARBAGE_TIMEOUT_MS,\"target_latency_ms\":500,\"attempts\":1,\"priority\":2,\"service\":\"bad-$name\"},"
        routes+="{\"name\":\"stream-$name\",\"host\":\"a.example\",\"path_prefix\":\"/stream-$name/\",\"kind\":\"streaming\",\"timeout_ms\":$GARBAGE_TIMEOUT_MS,\"target_latency_ms\":500,\"target_gap_ms\":800,\"attempts\":1,\"resumable\":false,\"priority\":2,\"service\":\"bad-$name\"},"
        services+="{\"name\":\"bad-$name\",\"health_check_path\":\"/health\"},"
    done
    relay_config 2 | sed "s|\"routes\":\[|&$routes|; s|\"services\":\[|&$services|; s|\"max_body_bytes\":65536|\"max_body_bytes\":4194304|"
}

# start_bad_server NUMBER NAME [OPTION…]: a server of bad-NAME that answers with kind NAME
start_bad_server() {
    local number=$1 name=$2 n
    shift 2
    run "garbage-$number" "$BUILD/fake-garbage" --listen "$(server_addr "$number")" --id "g-$number" --kind "$name" "$@"
    for ((n = 0; n < 200; n++)); do
        (: >"/dev/tcp/127.0.0.1/$(server_addr "$number" | cut -d: -f2)") 2>/dev/null && break
        sleep 0.02
    done
    post_admin "object/servers/g-$number" "{\"service\":\"bad-$name\",\"address\":\"$(server_addr "$number")\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":1000}"
}

# timed_call FILE HOST PATH [OPTION…]: "STATUS CURL_EXIT MS" goes to the file, the body to FILE.body
timed_call() {
    local file=$1 host=$2 path=$3 begun
    shift 3
    begun=$(now_ms)
    curl -s -o "$file.body" --max-time 8 -w '%{http_code}' -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $(basename "$file")" \
        -H 'X-Celeryspool-Deadline-Milliseconds: 6000' "${KEY1[@]}" "$@" "http://$(relay_addr "$host")$path" >"$file"
    echo " $? $(($(now_ms) - begun))" >>"$file"
}

# expect_failures KIND FILE…: these calls ended with a failure, at once, and with no part of the answer
expect_failures() {
    local kind=$1 slowest
    shift
    slowest=$(cut -d' ' -f3 "$@" | sort -n | tail -1)
    expect "$kind: every caller is told of a failure ($(cut -d' ' -f1,2 "$@" | sort | uniq -c | xargs))" [ "$(grep -lE '^50[23] 0 ' "$@" | wc -l)" = $# ]
    expect "$kind: at once ($slowest ms)" [ "$slowest" -lt "$AT_ONCE_MS" ]
    expect "$kind: no part of the answer reaches a caller" [ "$(cat "${@/%/.body}" 2>/dev/null | grep -cE 'wrong|0123456789')" = 0 ]
}

# expect_true_rejections KIND FILE…: no call that may have run is told otherwise; a
# file's name ends with the number of its host, whose log holds the end of the call
expect_true_rejections() {
    local kind=$1 file id false=0
    shift
    for file in $(grep -l '^503' "$@"); do
        id=$(basename "$file")
        wait_line "$OUT/relay-${id##*-}.log" "event=end id=$id " 2 || false=$((false + 1))
        cat "$OUT"/relay-*.log | grep -q "event=send-failed id=$id .*fate=may-have-run" && false=$((false + 1))
    done
    expect "$kind: a request that may have run is not told otherwise ($false)" [ $false = 0 ]
}

# start_kinds FIRST KIND…: two hosts, and a bad server of each kind, numbered from FIRST
start_kinds() {
    local n=$1 kind i
    shift
    start_platform 1 1 && start_relays 2 || return 1
    garbage_routes "$@" both >"$OUT/config-2.json"
    post_admin object/config/main "@$OUT/config-2.json"
    for kind in "$@"; do start_bad_server $((n++)) "$kind"; done
    for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$((n - 1)) " 3; done
    sleep 2.2 # a daemon makes no retries just after its start
}

# expect_held KIND: calls over all routes to the bad server of a kind, at both hosts, end with true failures
expect_held() {
    local kind=$1 route i calls=()
    for route in read strike stream; do
        for i in 1 2; do
            timed_call "$OUT/$kind-$route-$i" $i "/$route-$kind/x" -d "body" &
            calls+=($!)
        done
    done
    wait "${calls[@]}"
    expect_failures "$kind" "$OUT/$kind"-{read,strike,stream}-[12]
    expect_true_rejections "$kind" "$OUT/$kind"-strike-[12]
}

# start_bad_desk NUMBER KIND: a bad server of the service desk, whose health checks and reports are answered so too
start_bad_desk() {
    local i
    start_bad_server "$1" "$2" --probes
    post_admin "object/servers/g-$1" "{\"service\":\"desk\",\"address\":\"$(server_addr "$1")\",\"zone\":\"dc-a\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":2,\"born\":1000}"
    for i in 1 2; do wait_line "$OUT/relay-$i.log" "event=ready server=g-$1 service=desk" 3; done
}

# expect_served_beside LEAST: of 40 calls to the service desk so many are served, all whole
expect_served_beside() {
    local i served calls=()
    for ((i = 1; i <= 40; i++)); do
        timed_call "$OUT/beside-$i" $((i % 2 + 1)) /read/x &
        calls+=($!)
        sleep 0.05
    done
    wait "${calls[@]}"
    served=$(grep -l '^200 0 ' "$OUT"/beside-* | wc -l)
    expect "beside a sound server: $served of 40 are served" [ "$served" -ge "$1" ]
    expect "whole" [ "$(cat "$OUT"/beside-*.body | grep -c '^answer of p1$')" = "$served" ]
}
