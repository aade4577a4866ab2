#!/usr/bin/env bash
# Guards against requests to a server that is none: another writer's entry has
# sound contents under an odd name.
. "$(dirname "$0")/odd-names-lib.sh"
start_platform $ENGINES $PLAIN || exit 1
sound() { echo "{\\\"service\\\":\\\"$1\\\",\\\"address\\\":\\\"127.0.0.1:9\\\",\\\"zone\\\":\\\"dc-a\\\",\\\"state\\\":\\\"ready\\\",\\\"slots\\\":100,\\\"born\\\":1}"; }

for key in e2z=watch=5 e2z%26x e2z%20x e2z%22x 'e2z%0D%0AX-Celeryspool-Tenant: ws2' e2z%C3%A9 e2%00; do
    for service in llm desk; do
        post_admin store '{"remove_odd_entries":true}'
        odd_entry servers "$key" "" "$(sound $service)"
        check_play "$service, ${key:0:12}" servers 1 $REQUESTS
        expect "$service, ${key:0:12}: it is no server" [ "$SERVERS" = $((ENGINES + PLAIN)) ]
    done
done
finish
