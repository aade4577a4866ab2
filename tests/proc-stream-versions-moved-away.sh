#!/usr/bin/env bash
# Guards against streams that go on at another version once a configuration leads their path to a service without theirs.
LLM2_VERSION=v2.0
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1

# expect_refused NAME: no stream that began at the service before goes on, and callers learn so at once
expect_refused() {
    expect "$1: refused at once ($(figure "$1" refused_wait_ms) ms)" [ "$(figure "$1" refused_wait_ms)" -le 1200 ]
    expect "$1: new streams begin ($(figure "$1" begun) of $(figure "$1" opened))" [ "$(figure "$1" begun)" = "$(figure "$1" opened)" ]
}
change_under_streams away 2 "$(change_review service '"llm2"')"
expect_refused away
configure 3 ""
sleep 12 # streams last up to 11 s
for id in e1 e2 e3 e4; do engine $id '{"software":"v1.1"}'; done
change_under_streams unnamed 4 "$(change_review service '"llm2"')" --resumes none
expect_refused unnamed
finish
