#!/usr/bin/env bash
# Guards against streams that cannot be taken up after all hosts were killed, and
# removals of what is not theirs, because another writer has left odd entries
# among the origins of streams.
. "$(dirname "$0")/stream-versions-lib.sh"
KIND=celeryspool-origins
add_origins() { post_admin "object/$KIND/$1" "$2"; }
# add_odd KEY [NAME]: an entry whose origins have not expired
add_odd() { post_admin store "{\"odd_entry\":{\"kind\":\"$KIND\",\"key\":\"$1\",\"name\":\"${2:-}\",\"spec\":\"{\\\"until\\\":9999999999999,\\\"origins\\\":[7]}\"}}"; }

start_versions || exit 1
post_admin store '{"page_objects":3,"cursor":"refuse"}'
add_origins 'a&x' '{}'
add_odd b%23x
add_odd c%2541x
add_odd d%20x '\"dx\"'
add_odd e%20x null
add_origins 'f&x' '{"until":1,"origins":[]}'

clients all 8 6
sleep 4
for host in 1 2 3; do stop relay-$host KILL; done
sleep 0.4
start_relays 3
wait_clients
expect_versions all
expect_taken_up all 12
sleep 1
expect "origins were read" grep -q 'event=read ' "$OUT"/relay-*.log
expect "an expired entry is removed under its name" [ -z "$(curl -s "http://$PLATFORM_STORE/objects/$KIND/f%26x" | grep revision)" ]
expect "one that states no time stays" [ -n "$(curl -s "http://$PLATFORM_STORE/objects/$KIND/a%26x" | grep revision)" ]
expect "the configuration stays" [ -n "$(curl -s "http://$PLATFORM_STORE/objects/config/main" | grep revision)" ]
finish
