#!/usr/bin/env bash
# Guards against streams that are not taken up any more once their caller's access key belongs to another workspace.
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1

expect_go_on renamed 2 's#"ws1"#"ws1-renamed"#'
expect_go_on moved 3 's#"key1",##;s#"key2"#"key2","key1"#'
finish
