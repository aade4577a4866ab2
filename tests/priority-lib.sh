# Shared by the tests of admission by priority: engines with few slots, and a
# short urgent and a long less urgent route to them.
. "$(dirname "${BASH_SOURCE[0]}")/relay-lib.sh"
SLOTS=8

# priority_config VERSION URGENT_TARGET LONG_TARGET
priority_config() {
    cat <<JSON
{"version":$1,"routes":[
 {"name":"read","host":"a.example","path_prefix":"/read/","kind":"idempotent","timeout_ms":800,"target_latency_ms":100,"attempts":2,"priority":2,"service":"desk"},
 {"name":"urgent","host":"a.example","path_prefix":"/urgent/","kind":"streaming","timeout_ms":2500,"target_latency_ms":$2,"target_gap_ms":800,"attempts":2,"resumable":false,"priority":0,"service":"llm"},
 {"name":"long","host":"a.example","path_prefix":"/long/","kind":"streaming","timeout_ms":20000,"target_latency_ms":$3,"target_gap_ms":800,"attempts":2,"resumable":false,"priority":2,"service":"llm"}],
"services":[{"name":"desk","health_check_path":"/health"},{"name":"llm","health_check_path":"/health","engine":{"slots":$SLOTS,"cache_capacity":90000,"max_in_flight":12,"models":[{"name":"m1"}]}}],
"limits":{"max_header_bytes":4096,"max_body_bytes":65536,"header_timeout_ms":600,"idle_timeout_ms":3000},
"tenants":[{"name":"ws1","access_keys":["key1"],"isolated":true}]}
JSON
}

# put_config RELAYS VERSION URGENT_TARGET LONG_TARGET: waits until the relays have it
put_config() {
    local i try
    priority_config "$2" "$3" "$4" >"$OUT/config-$2.json"
    post_admin object/config/main "@$OUT/config-$2.json"
    for ((i = 1; i <= $1; i++)); do
        for ((try = 0; try < 100; try++)); do
            curl -s --max-time 1 "http://$(metrics_addr $i)/" | grep -q "^celeryspool_config_version $2$" && continue 2
            sleep 0.05
        done
        return 1
    done
}

# limit_slots ENGINES: engines run SLOTS requests at once and queue others by priority
limit_slots() {
    local i
    for ((i = 1; i <= $1; i++)); do engine "e$i" "{\"slots\":$SLOTS,\"gap_ms\":50}"; done
    wait_line <(curl -sN --max-time 2 "http://$PLATFORM_STORE/objects/servers") "\"slots\": ?$SLOTS" 1 || true
    sleep 0.5 # until the relays have the new entries
}

# ask RELAY NAME ID PATH DEADLINE_MS [CURL OPTION…]: one request with the id
# NAME-ID; adds to $OUT/NAME: ID STATUS FIRST_BYTE_S TOTAL_S RETRY_AFTER, and to
# $OUT/NAME-sent: ID TIME_MS
ask() {
    local relay=$1 name=$2 id=$3 path=$4 deadline=$5
    shift 5
    echo "$id $(now_ms)" >>"$OUT/$name-sent"
    curl -s -o "$OUT/body-$name-$id" --max-time 25 -w "$id %{http_code} %{time_starttransfer} %{time_total} %header{retry-after}\n" \
        -H 'Host: a.example' -H "X-Celeryspool-Attempt-Id: $name-$id" -H "X-Celeryspool-Deadline-Milliseconds: $deadline" \
        "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: a$((id % 3)):800,b$((id % 5)):410,$name$id:250" \
        -d x "$@" "http://$(relay_addr "$relay")$path" >>"$OUT/$name"
}

# ask_often RELAYS NAME COUNT INTERVAL_S PATH DEADLINE_MS: requests to all relays in turn
ask_often() {
    local n calls=()
    for ((n = 1; n <= $3; n++)); do
        ask $((n % $1 + 1)) "$2" $n "$5" "$6" &
        calls+=($!)
        sleep "$4"
    done
    wait "${calls[@]}"
}

# admission RELAYS CLASS VERDICT: requests that the relays counted
admission() {
    local i
    for ((i = 1; i <= $1; i++)); do curl -s --max-time 2 "http://$(metrics_addr $i)/"; done |
        awk -v name="celeryspool_admission{service=\"llm\",class=\"$2\",verdict=\"$3\"}" '$1 == name { n += $2 } END { print n + 0 }'
}
# count_status NAME STATUS: requests that ended with the status
count_status() { awk -v status="$2" '$2 == status { n++ } END { print n + 0 }' "$OUT/$1"; }
# share PART WHOLE PERCENT: whether the part is at least so much of the whole
share() { [ "$2" -gt 0 ] && [ $(($1 * 100)) -ge $(($2 * $3)) ]; }
