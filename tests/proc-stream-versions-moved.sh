#!/usr/bin/env bash
# Guards against streams that are not taken up any more once a configuration leads their path to another service.
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1

expect_go_on moved 2 "$(change_review service '"llm2"')"
expect "moved: they go on at the service of the route" [ "$(grep -c '^run server=e[1-4] .*Resumes=moved' "$RECORD")" = 0 ]
expect_go_on back 3 ""
expect_go_on split 4 "$(copy_review path_prefix '"/review/long/"' service '"llm2"')" --path /review/long/s
expect "split: they go on at the service of the route" [ "$(grep -c '^run server=e[1-4] .*Resumes=split' "$RECORD")" = 0 ]
finish
