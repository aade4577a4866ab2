#!/usr/bin/env bash
# Guards against hosts that do not start, or that list without end, because the
# store does not go on with a list after the name of another writer's entry.
. "$(dirname "$0")/odd-names-lib.sh"
start_platform $ENGINES $PLAIN || exit 1

# check_cursor WHAT MODES PAGE_OBJECTS PAGES SERVED_MIN KEY [NAME]
check_cursor() {
    local mode
    for mode in $2; do
        post_admin store "{\"remove_odd_entries\":true,\"page_objects\":$3,\"cursor\":\"$mode\"}"
        odd_entry servers "$6" "${7:-}"
        check_play "$1, the store's answer: $mode" servers "$4" "$5"
    done
}
ALL="order empty first refuse"

# The entry is the last one of the first page of three.  The key, by which the
# store goes on, is not the name.
check_cursor "another name" "$ALL" 3 3 $REQUESTS e2z%20x '\"e2zzz\"'
check_cursor "no name" "$ALL" 3 3 $REQUESTS e2z null
# In pages of one nothing else is known to go on with: two engines are known.
check_cursor "another name alone" "$ALL" 1 9 $((REQUESTS / 2)) e2z%20x '\"e2 \"'
check_cursor "no name alone" order 1 9 $((REQUESTS / 2)) e2z null
check_cursor "a number alone" order 1 9 $((REQUESTS / 2)) e2z 7
check_cursor "an empty name alone" order 1 9 $((REQUESTS / 2)) e2z '\"\"'

# A host that starts beside others, which know all servers, gets them from these.
post_admin store '{"remove_odd_entries":true,"page_objects":1,"cursor":"order"}'
start_relays $HOSTS
wait_daemons $HOSTS
odd_entry servers e2z null
stop relay-1 KILL
start_relay 1
wait_for "http://$(ready_addr 1)/readiness"
wait_daemons $HOSTS
sleep 2
expect "a host that starts beside others: all requests are served" [ "$(count_served)" = $REQUESTS ]
for ((host = 1; host <= HOSTS; host++)); do stop "relay-$host" KILL; done

# Hosts that know a part of the servers know all once the entry is gone.
start_relays $HOSTS
expect "hosts that know a part of the servers serve with it" [ "$(count_served)" -ge $((REQUESTS / 2)) ]
post_admin store '{"remove_odd_entries":true}'
sleep 8
expect "hosts know all servers once the entry is gone" [ "$(count_served)" = $REQUESTS ]
finish
