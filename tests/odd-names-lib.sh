# Shared by the tests of entries that another writer has left in the store under
# odd names: plays in which all hosts start while such an entry stands.
. "$(dirname "${BASH_SOURCE[0]}")/relay-lib.sh"
HOSTS=3
ENGINES=6
PLAIN=2
READY_S=6
# Requests of a play, half of them to plain servers and half to engines.
REQUESTS=24
# A whole list is read once by each host.  One that cannot be read further is
# read again later, with growing pauses.
LISTS_MAX=4

# store_count NAME: calls for lists of a kind, or "removals"
store_count() { curl -s -d '{}' "http://$PLATFORM_STORE/admin/store" | grep -oE "\"$1\": *[0-9]+" | grep -oE '[0-9]+$'; }
# odd_entry KIND KEY [NAME [SPEC]]: adds an entry; KEY is percent-encoded, NAME
# and SPEC are JSON as the text of a JSON string
odd_entry() {
    local name=${3:-} spec=${4:-}
    post_admin store "{\"odd_entry\":{\"kind\":\"$1\",\"key\":\"$2\"${name:+,\"name\":\"$name\"}${spec:+,\"spec\":\"$spec\"}}}"
}

count_ready() {
    local host ready=0
    for ((host = 1; host <= HOSTS; host++)); do
        [ "$(curl -s -o /dev/null -w '%{http_code}' --max-time 1 "http://$(ready_addr $host)/readiness")" = 200 ] && ready=$((ready + 1))
    done
    echo $ready
}
wait_ready() {
    local n
    for ((n = 0; n < READY_S * 20; n++)); do
        [ "$(count_ready)" = $HOSTS ] && return
        sleep 0.05
    done
}

# send_to HOST: sends a host its share of the requests of a play, and prints the
# status of each behind the kind of its server
send_to() {
    local i
    for ((i = 0; i < REQUESTS / HOSTS / 2; i++)); do
        echo "plain $(request_status "$1" "/read/$i" "${KEY1[@]}")"
        echo "engine $(request_status "$1" "/review/$i" "${KEY1[@]}" "${LLM_HEADERS[@]}")"
    done
}
# count_served: sends the requests of a play and prints how many were served
count_served() {
    local host sent=()
    for ((host = 1; host <= HOSTS; host++)); do
        send_to $host >"$OUT/statuses-$host" &
        sent+=($!)
    done
    wait "${sent[@]}"
    echo "  $(cat "$OUT"/statuses-* | sort | uniq -c | tr -s ' \n' ' ')" >&2
    cat "$OUT"/statuses-* | grep -c ' 200$'
}

# count_odd_lines: lines of the hosts' metrics and logs that are malformed
count_odd_lines() {
    local host label='[a-z_]+="([^"\\]|\\.)*"'
    for ((host = 1; host <= HOSTS; host++)); do
        curl -s --max-time 1 "http://$(metrics_addr $host)/metrics" |
            grep -avE "^(#.*|[a-z_]+(\{$label(,$label)*\})? [-+0-9.e]+|[a-z_]+ (inf|nan))\$"
        LC_ALL=C grep -avE '^t=[0-9]+ level=[a-z]+ host=[^ ]+ part=[a-z-]+ event=[a-z-]+ [^[:cntrl:]]*$' "$OUT/relay-$host.log"
    done | tee -a "$OUT/odd-lines" | wc -l
}

# count_daemons: how many hosts the one that knows fewest knows, itself included
count_daemons() {
    local host
    for ((host = 1; host <= HOSTS; host++)); do
        curl -s --max-time 1 "http://$(metrics_addr $host)/" | sed -n 's/^celeryspool_daemons //p'
    done | sort -n | head -1
}

# count_servers: how many servers the first host knows
count_servers() { curl -s --max-time 1 "http://$(metrics_addr 1)/metrics" | grep -c '^celeryspool_server{'; }

# play KIND: starts all hosts, sends requests and sets READY (hosts), SERVED, LISTS
# (calls for a list of KIND), REMOVALS, ODD_LINES, KNOWN (hosts that each one knows)
# and SERVERS (that the first one knows)
play() {
    local host
    post_admin object/config/main "@$OUT/config-1.json"
    for ((host = 1; host <= HOSTS; host++)); do : >"$OUT/relay-$host.log"; done
    LISTS=$(store_count "$1")
    REMOVALS=$(store_count removals)
    for ((host = 1; host <= HOSTS; host++)); do start_relay "$host"; done
    wait_ready
    READY=$(count_ready)
    SERVED=$(count_served)
    sleep 1
    LISTS=$(($(store_count "$1") - ${LISTS:-0}))
    REMOVALS=$(($(store_count removals) - REMOVALS))
    ODD_LINES=$(count_odd_lines)
    KNOWN=$(count_daemons)
    SERVERS=$(count_servers)
    for ((host = 1; host <= HOSTS; host++)); do stop "relay-$host" KILL; done
    echo "  ready $READY, served $SERVED, lists of $1 $LISTS, removals $REMOVALS, odd lines $ODD_LINES"
}

# check_play WHAT KIND PAGES SERVED_MIN: plays and checks; PAGES of the list of KIND
check_play() {
    play "$2"
    expect "$1: all hosts are ready" [ "$READY" = $HOSTS ]
    expect "$1: $4 of $REQUESTS requests are served" [ "$SERVED" -ge "$4" ]
    expect "$1: lists are read once, or again with pauses" [ "$LISTS" -le $(($3 * HOSTS * LISTS_MAX)) ]
    expect "$1: nothing is removed from the store" [ "$REMOVALS" = 0 ]
    expect "$1: metrics and logs are well-formed" [ "$ODD_LINES" = 0 ]
}
