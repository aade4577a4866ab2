#!/usr/bin/env bash
# Guards against take-ups that name no attempt of theirs: guessed versions, hints about others' streams, memory filled.
. "$(dirname "$0")/stream-versions-lib.sh"
# A larger quarantine would count as memory of the daemons.
export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=1"
start_versions || exit 1
for id in e1 e2 e3 e4; do engine $id '{"gap_ms":20}'; done

# leave NAME [OPTION…]: clients that leave their streams and take them up at another host
leave() {
    local name=$1
    shift
    clients "$name" 8 3 --leave-after 15 "$@"
    wait_clients
    expect_versions "$name"
    expect "$name: the others begin ($(figure "$name" begun) of $(figure "$name" opened))" [ "$(figure "$name" begun)" = "$(figure "$name" opened)" ]
    expect "$name: refused at once if at all ($(figure "$name" refused_wait_ms) ms)" [ "$(figure "$name" refused_wait_ms)" -le 1200 ]
}
# refusals NAME: the statuses of refused take-ups
refusals() { grep -o '^refused_take_up_[0-9]*' "$OUT/$1" | tr '\n' ' '; }

leave own
expect_taken_up own 12
for kind in none unknown long odd alone; do leave $kind --resumes $kind; done
leave other --take-up-key key2
expect "another workspace's stream does not go on ($(figure other went_on) of $(figure other taken_up))" [ "$(figure other went_on)" = 0 ]
expect "it is refused as an unknown one is ($(refusals other)/ $(refusals unknown))" [ "$(refusals other)" = "$(refusals unknown)" ]

# Two workspaces use the same attempt ids at the same time.
clients same-1 6 3 --leave-after 15 --name same
clients same-2 6 3 --leave-after 15 --name same --key key2
wait_clients
for name in same-1 same-2; do
    expect_versions $name
    expect_taken_up $name 12
done

# resumes_of COUNT NAME: requests at host 1 that resume attempts nobody had, with ids of 2 KB
resumes_of() {
    local i pad=$(printf 'x%.0s' {1..2000})
    for ((i = 0; i < $1; i++)); do
        printf 'url = "http://%s/review/m"\noutput = /dev/null\nsilent\nmax-time = 3\ndata = x\n' "$(relay_addr 1)"
        printf 'header = "%s"\n' 'Host: a.example' "X-Celeryspool-Attempt-Id: $2-$i" 'X-Celeryspool-Deadline-Milliseconds: 2000' \
            'Authorization: Token key1' 'X-Celeryspool-Model: m1' 'X-Celeryspool-Token-Usage: 20,8' \
            'X-Celeryspool-Prompt-Prefix: aa:20' 'Last-Event-Id: 3' "Resumes: $pad$2-$i"
        echo next
    done | sed '$d' | curl -K -
}
memory_kb() { awk '$1 == "VmRSS:" { print $2 }' "/proc/${PIDS[relay-1]}/status"; }
for id in e1 e2 e3 e4; do engine $id '{"events":4,"gap_ms":1}'; done
resumes_of 500 warm
before=$(memory_kb)
resumes_of 4000 fill
grown=$(($(memory_kb) - before))
expect "unknown attempts leave no memory behind ($grown KB after 4000)" [ "$grown" -le 3000 ]
expect "all daemons run" kill -0 "${PIDS[relay-1]}" "${PIDS[relay-2]}" "${PIDS[relay-3]}"
finish
