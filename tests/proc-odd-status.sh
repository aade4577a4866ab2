#!/usr/bin/env bash
# Guards against answers whose status is none: callers that get them, or that are
# held until their time is over because they are taken for interim answers.
. "$(dirname "$0")/relay-lib.sh"
. tests/garbage-lib.sh
KINDS="status-000 status-007 status-099 status-0200 status-20 status-minus status-2x0 status-none status-999 status-1000"
AT_ONCE_MS=1000
GARBAGE_ATTEMPTS=2
start_kinds 40 $KINDS || exit 1
for kind in $KINDS; do expect_held "$kind"; done

start_bad_desk 60 status-000
expect_served_beside 36
finish
