#!/usr/bin/env bash
# Guards against answers with a broken head or broken chunks that reach callers as
# complete ones, whose body is not the server's.
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="coding-less coding-more coding-empty coding-list coding-twice coding-control coding-half coding-events"
KINDS+=" line-lf line-lf-length line-lf-chunked line-lf-last line-cr value-control value-delete value-folded length-folded"
KINDS+=" chunk-short chunk-cr chunk-size-cr chunk-size-two trailer-lf"
KINDS+=" length-short length-zero length-empty length-letter length-sign length-list length-twice length-name length-coded field-word field-json name-blank name-control"
AT_ONCE_MS=1000
GARBAGE_ATTEMPTS=2
start_kinds 60 $KINDS || exit 1
for kind in $KINDS; do expect_held "$kind"; done

start_bad_desk 98 coding-less
start_bad_desk 99 chunk-short
expect_served_beside 30
finish
