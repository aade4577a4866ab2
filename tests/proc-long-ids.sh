#!/usr/bin/env bash
# Guards against requests whose ids are too long to be kept, so that the answers that bear them are taken for others'.
. "$(dirname "$0")/relay-lib.sh"
start_platform 1 1 && start_relays 1 || exit 1
id_of() { head -c "$1" /dev/zero | tr '\0' a; }
# status_of LENGTH PATH
status_of() { ID=$(id_of "$1") request_status 1 "$2" "${KEY1[@]}" "${LLM_HEADERS[@]}" -d x; }
for path in /read/x /strike/x /flag/x; do
    expect "$path: an id of 95 bytes is served" [ "$(status_of 95 "$path")" = 200 ]
    expect "$path: a longer one gets 400" [ "$(status_of 96 "$path")" = 400 ]
    expect "$path: so does a much longer one" [ "$(status_of 2000 "$path")" = 400 ]
done
expect "none of these has run" [ "$(grep -c "Attempt-Id=$(id_of 96)" "$RECORD")" = 0 ]
finish
