#!/usr/bin/env bash
# Guards against requests that run twice, or run though they were refused, when hosts and their paths fail while entries lapse and servers restart.
LINKED=1
. "$(dirname "$0")/relay-lib.sh"
HOSTS=4
RELAY_DCS=([3]=dc-b [4]=dc-b)
RETRY_SLACK=4000
ROUNDS=${ROUNDS:-30}
SERVERS=(e1 e2 e3 e4 p1 p2)
# For so long a stream may run at its former server after it has begun at another one, ms.
OVERLAP_MAX_MS=400
start_platform 4 2 && start_relays $HOSTS || exit 1
wait_daemons $HOSTS
sleep 2 # a daemon makes no retries just after its start

# former former_entry|former_entry_gone: gives all servers a second entry, or takes it away
former() { for server in "${SERVERS[@]}"; do engine $server "{\"$1\":\"former-$server\"}"; done; }
for server in "${SERVERS[@]}"; do engine $server '{"copy_rejections":true,"record_ends":true,"events":60,"gap_ms":50,"work_ms":20}'; done
former former_entry

# call HOST PATH ID: status and body go to a file
call() {
    ID=$3 send_request "$1" "$2" "${KEY1[@]}" "${LLM_HEADERS[@]:0:4}" -H "X-Celeryspool-Prompt-Prefix: aa:800,$3:250" -d x >"$OUT/call-$3"
}
# calls: each host gets each kind of request, twice a second
calls() {
    local round host kind list=()
    for ((round = 1; round <= ROUNDS; round++)); do
        for ((host = 1; host <= HOSTS; host++)); do
            for kind in strike flag read review; do
                call $host /$kind/x "$kind-$round-$host" &
                list+=($!)
            done
        done
        sleep 0.4
    done
    wait "${list[@]}"
}

# mark out|in HOST: from when to when a host may be unable to end what it has sent
mark() { echo "$(now_ms) $1 $2" >>"$OUT/marks"; }
freeze() {
    mark out "$1"
    kill -STOP "${PIDS[relay-$1]}"
    sleep "$2"
    kill -CONT "${PIDS[relay-$1]}"
    mark in "$1"
}
# come_back HOST: waits for the end of a host and starts it again
come_back() {
    wait "${PIDS[relay-$1]}" 2>/dev/null
    start_relay "$1"
    wait_for "http://$(ready_addr "$1")/readiness"
}
# fail_hosts: a host is cut off, and those that forward for it are frozen, killed and stopped
fail_hosts() {
    local how
    for how in hang reset; do
        [ $how != hang ] || mark out 1
        cut_host 1 $how
        sleep 1
        freeze 2 0.5
        kill -9 "${PIDS[relay-3]}"
        come_back 3
        freeze 2 1.5
        kill -TERM "${PIDS[relay-4]}"
        sleep 0.5
        cut_host 1 none
        [ $how != hang ] || mark in 1
        come_back 4
    done
}
# cut_hosts: one host after the other reaches no server for a moment; its streams go on elsewhere
cut_hosts() {
    local host
    for ((host = 1; host <= HOSTS; host++)); do
        mark out $host
        cut_host $host hang
        sleep 1.2
        cut_host $host none
        mark in $host
        sleep 0.6
    done
}
# lapse: until hosts fail no more, second entries lapse and return, and every other time a server starts again
lapse() {
    local n
    for ((n = 0; n < 99; n++)); do
        [ ! -e "$OUT/over" ] || break
        former former_entry_gone
        [ $((n % 2)) = 0 ] || engine ${SERVERS[$((n % 6))]} '{"restart":300}'
        sleep 0.4
        former former_entry
        sleep 0.4
    done
}

# refused KIND: requests that were refused, and of these that have run
refused() {
    local file
    for file in "$OUT"/call-$1-*; do
        case $(tail -1 "$file") in 408 | 421 | 429 | 503) count_runs "${file##*/call-}" ;; esac
    done | awk '{ n++; ran += $1 > 0 } END { print n + 0, ran + 0 }'
}
# twice KIND: requests that ran more than once
twice() { sed -n "s/^run .*Attempt-Id=\($1-[^ ]*\) .*/\1/p" "$RECORD" | sort | uniq -d | wc -l; }
# overlaps: for how many ms streams ran at two servers, though the host that had sent them to the first one could end them there
overlaps() {
    awk '
        function field(name, i) { for (i = 1; i <= NF; i++) if (index($i, name "=") == 1) return substr($i, length(name) + 2); return "" }
        function min(a, b) { return a < b ? a : b }
        # The time from which on a host is able to, if it is not for all of the allowed time after one.
        function able(host, from, i) {
            for (i = 1; i <= marks[host]; i++) if (out[host, i] < from + max && from < back[host, i]) from = back[host, i]
            return from
        }
        # The host that last chose a server for a stream before it began there: others may have been rejected by it.
        function sender(id, server, at, i, key, last) {
            key = id SUBSEP server
            for (i = 1; i <= sends[key]; i++) if (sent[key, i] <= at && (!last || sent[key, i] >= sent[key, last])) last = i
            return host_of[key, last]
        }
        FILENAME ~ /marks$/ && $2 == "out" { out[$3, ++marks[$3]] = $1 }
        FILENAME ~ /marks$/ && $2 == "in" { back[$3, marks[$3]] = $1 }
        /event=chosen / { host = field("host"); sub(/relay-/, "", host); server = field("server"); sub(/former-/, "", server); key = field("id") SUBSEP server; host_of[key, ++sends[key]] = host; sent[key, sends[key]] = field("t") }
        $1 == "run" { id = field("X-Celeryspool-Attempt-Id"); n[id]++; server_of[id, n[id]] = field("server"); at[id, n[id]] = field("at_ms"); end[id, n[id]] = 1e15 }
        $1 == "end" { id = field("id"); for (i = 1; i <= n[id]; i++) if (server_of[id, i] == field("server") && end[id, i] == 1e15) { end[id, i] = field("at_ms"); break } }
        END {
            for (id in n) for (i = 1; i < n[id]; i++) for (j = i + 1; j <= n[id]; j++) {
                over = min(end[id, i], end[id, j]) - able(sender(id, server_of[id, i], at[id, i]), at[id, j])
                if (server_of[id, i] != server_of[id, j] && over > 0) print over, id, server_of[id, i], server_of[id, j], at[id, j]
            }
        }' max=$OVERLAP_MAX_MS "$OUT/marks" "$OUT"/relay-*.log "$RECORD" | sort -nr
}

calls &
load=$!
lapse &
lapses=$!
cut_hosts
fail_hosts
touch "$OUT/over"
wait $load $lapses
sleep 1
for kind in strike flag; do
    read -r n ran < <(refused $kind)
    expect "$kind: none that was refused has run ($ran of $n)" [ "$ran" = 0 ]
    expect "$kind: none ran twice ($(twice $kind))" [ "$(twice $kind)" = 0 ]
done
overlaps >"$OUT/overlaps"
late=$(awk -v max=$OVERLAP_MAX_MS '$1 > max' "$OUT/overlaps" | wc -l)
expect "no stream runs at two servers for more than $OVERLAP_MAX_MS ms ($late of $(twice review) that went on, at most $(awk 'NR == 1 { most = $1 } END { print most + 0 }' "$OUT/overlaps") ms)" [ "$late" = 0 ]
former=$(cat "$OUT"/relay-*.log | grep 'event=send-failed' | grep -c 'server=former')
forwarded=$(cat "$OUT"/relay-*.log | grep -c 'event=forwarded ')
expect "hosts forwarded requests ($forwarded)" [ "$forwarded" -ge 20 ]
expect "requests came to the address of a former entry ($former)" [ "$former" -ge 20 ]
copies=$(grep -c '^copy ' "$RECORD")
expect "no request came to a connection that had carried it ($copies)" [ "$copies" = 0 ]
served=$(cat "$OUT"/call-* | grep -c '^200$')
expect "most are served ($served of $((ROUNDS * HOSTS * 4)))" [ $((served * 2)) -ge $((ROUNDS * HOSTS * 4)) ]
finish
