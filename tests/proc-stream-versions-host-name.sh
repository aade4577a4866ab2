#!/usr/bin/env bash
# Guards against streams that are not taken up any more once the host name of their route is spelled otherwise or changed.
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1

expect_go_on spelled 2 "$(change_review host '"A.Example"')"
expect_go_on renamed 3 "$(copy_review host '"b.example"')" --take-up-host-name b.example
finish
