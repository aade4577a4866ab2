#!/usr/bin/env bash
# Guards against hosts whose connections are not bounded although the platform states how many descriptors they may have.
. "$(dirname "$0")/relay-lib.sh"
start_platform 4 3 || exit 1
relay_settings 1 >"$OUT/relay-1.ini"

# play OPTION: the host with an option, and 400 idle connections of others
play() {
    : >"$OUT/relay-1.log"
    : >"$OUT/holder.log"
    run relay-1 "$BUILD/celeryspoold" --settings "$OUT/relay-1.ini" "$1"
    wait_for "http://$(ready_addr 1)/readiness" || exit 1
    run holder "$BUILD/fake-holder" --idle 400 --to "$(relay_addr 1)" --send ""
    wait_line "$OUT/holder.log" holding 5
    sleep 1
}
# maximum: connections that callers may have, as the host logs it when they have them
maximum() { grep 'part=connections event=no-room for=callers' "$OUT/relay-1.log" | grep -o ' max=[0-9]*' | sort -u; }
# finish_play: ends what a play has started
finish_play() {
    stop holder KILL
    stop relay-1 KILL
}

play --descriptors=256
expect "callers have half of those stated ($(maximum))" [ "$(maximum)" = " max=128" ]
expect "the host serves" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
finish_play
play --descriptors=
expect "none are stated: the system's limit applies ($(maximum))" [ "$(maximum)" = "" ]
expect "the host serves then" [ "$(request_status 1 /read/x "${KEY1[@]}")" = 200 ]
finish_play

for value in x -1 12k 99999999999999999999; do
    "$BUILD/celeryspoold" --settings "$OUT/relay-1.ini" --check "--descriptors=$value" >"$OUT/bad" 2>&1
    expect "--descriptors=$value is refused by name" [ "$?$(grep -cF -- "--descriptors: \"$value\" is not a number" "$OUT/bad")" = 641 ]
done
expect "the deploy file states them" grep -qF -- '--descriptors={{limits.file_descriptors}}"' deploy/system.toml
finish
