#!/usr/bin/env bash
# Guards against hosts that do not start, or do not know each other, because
# another writer has left an odd entry beside configuration, weights or hosts.
. "$(dirname "$0")/odd-names-lib.sh"
start_platform $ENGINES $PLAIN || exit 1
post_admin store '{"page_objects":1,"cursor":"order"}'
long=a$(printf 'x%.0s' {1..300})

# The entry is the first of its kind.
for kind in config versions celeryspool-daemons; do
    pages=2
    [ $kind = celeryspool-daemons ] && pages=$((HOSTS + 1))
    for key in 'a%26x' 'a%20x' 'a%00x' "$long"; do
        post_admin store '{"remove_odd_entries":true}'
        odd_entry $kind "$key" "" '{}'
        check_play "$kind, ${key:0:8}" $kind $pages $REQUESTS
        expect "$kind, ${key:0:8}: hosts know each other" [ "$KNOWN" = $HOSTS ]
    done
done

# Weights that nobody published: engines refuse to load them.
post_admin store '{"remove_odd_entries":true}'
odd_entry versions 'a%26x' "" '{\"model\":\"m1\",\"version\":2}'
start_relays $HOSTS
sleep 12
expect "published under another name: weights in use stay usable" [ "$(count_served)" = $REQUESTS ]
expect "published under another name: no engine is ordered to load them" [ "$(grep -c '^order' "$RECORD")" = 0 ]
finish
