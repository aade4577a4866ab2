#!/usr/bin/env bash
# Guards against many streams that are lost when their route moves while a host ends, or while the store is away.
RELAY_DCS=([3]=dc-b)
. "$(dirname "$0")/stream-versions-lib.sh"
start_two_services || exit 1
for id in e1 e2 e3 e4 e5 e6 e7 e8; do engine $id '{"slots":64}'; done
slots='s#"slots":8#"slots":64#g'

# change NAME VERSION SERVICE COMMAND…: 80 streams, a change to a service, then the command
change() {
    local name=$1 version=$2 service=$3
    shift 3
    clients "$name" 40 2 --leave-after 45 --retries 5 --take-up-hosts "$(hosts 2 3)"
    sleep 1.5
    configure "$version" "$slots;$(change_review service "\"$service\"")"
    "$@"
    wait_clients
    expect_versions "$name"
    expect_begun "$name"
    expect_taken_up "$name" 60
}
store_is_down() { post_admin store "{\"down\":$1}"; }

change many 2 llm2 true
change away 3 llm store_is_down true
store_is_down false
sleep 1
change ended 4 llm2 kill -9 "${PIDS[relay-1]}"
finish
