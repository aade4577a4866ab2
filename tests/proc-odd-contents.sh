#!/usr/bin/env bash
# Guards against lines in metrics and logs that names in an entry of another
# writer, or in the configuration, add or break there.
. "$(dirname "$0")/odd-names-lib.sh"
start_platform $ENGINES $PLAIN || exit 1

# A server that takes no requests, so that its names alone matter.
draining() { echo "{\\\"service\\\":\\\"$1\\\",\\\"address\\\":\\\"127.0.0.1:9\\\",\\\"zone\\\":\\\"$2\\\",\\\"state\\\":\\\"draining\\\",\\\"slots\\\":4,\\\"born\\\":1,\\\"models\\\":[{\\\"name\\\":\\\"$3\\\",\\\"version\\\":1}]}"; }
odd='x\\\"} 1\\nt=1 level=info host=x part=y event=z\\r\\u001b\\u007f'
relay_config 1 >"$OUT/config-1.sound.json"

check_contents() {
    check_play "$1" servers 1 $REQUESTS
    post_admin store '{"remove_odd_entries":true}'
    cp "$OUT/config-1.sound.json" "$OUT/config-1.json"
}
odd_entry servers e9 "" "$(draining llm dc-a "$odd")"
check_contents "the name of a model"
odd_entry servers e9 "" "$(draining "$odd" dc-a m1)"
check_contents "the name of a service"
odd_entry servers e9 "" "$(draining llm "$odd" m1)"
check_contents "the name of a data centre"
odd_entry servers 'e9%22} 1%0At=1' "" "$(draining llm dc-a m1)"
check_contents "the name of the entry"
odd_entry versions m9 "" "{\\\"model\\\":\\\"$odd\\\",\\\"version\\\":2}"
check_contents "the name of published weights"
odd_entry versions 'm9%22%0At=1' "" '{}'
check_contents "the name of unreadable weights"
sed -i 's/"name":"read"/"name":"re\\"ad\\n} 1"/' "$OUT/config-1.json"
check_contents "the name of a route"
sed -i 's/"name":"ws1"/"name":"w\\"s1\\n} 1","unit":"requests","rate_per_s":1000,"burst":1000/' "$OUT/config-1.json"
check_contents "the name of a workspace"
finish
