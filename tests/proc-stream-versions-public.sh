#!/usr/bin/env bash
# Guards against streams that are not taken up any more once their route needs no access key, or needs one.
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1

expect_go_on public 2 "$(change_review public true)"
expect_go_on private 3 "$(change_review public false)"
expect_go_on keyless 4 "$(change_review public true)" --take-up-key ""
expect_go_on keyed 5 "$(change_review public false)" --rate 12 --seconds 1.4 --key "" --take-up-key key1
finish
