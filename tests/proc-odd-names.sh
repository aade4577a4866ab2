#!/usr/bin/env bash
# Guards against hosts that do not start, do not know all servers or list without
# end because another writer has left an entry with an odd name in the store.
. "$(dirname "$0")/odd-names-lib.sh"
start_platform $ENGINES $PLAIN || exit 1
post_admin store '{"page_objects":1,"cursor":"order"}'
PAGES=$((ENGINES + PLAIN + 1))

# check_name WHAT KEY [NAME]: an entry between those of the second and the third engine
check_name() {
    post_admin store '{"remove_odd_entries":true}'
    odd_entry servers "$2" "${3:-}"
    check_play "$1" servers $PAGES $REQUESTS
}

check_name "a plain name" e2z
check_name "&" e2z%26x
check_name "+" e2z+x
check_name "#" e2z%23x
check_name "a blank" e2z%20x
check_name "% and two digits" e%257A
check_name "% and no digits" e2z%25zz
check_name "a query" 'e2z%26watch=5'
check_name "a path" e2z/../x
check_name "a quote" e2z%22x
check_name "a tab" e2z%09x
check_name "a line break" e2z%0Ax
check_name "a request" 'e2z HTTP/1.1%0D%0AHost: a%0D%0A%0D%0ADELETE /objects/config/main HTTP/1.1%0D%0AHost: a%0D%0A%0D%0A'
check_name "beyond ASCII" e2z%C3%A9
check_name "300 bytes" "e2z$(printf 'x%.0s' {1..300})"
check_name "4,000 bytes" "e2z$(printf 'x%.0s' {1..4000})"
check_name "NUL" e2z%00x
check_name "NUL behind another entry's name" e2%00
check_name "half a surrogate pair" e2z%ED%A0%80 '\"e2z\\ud800\"'
check_name "bytes that are no text" e2z%FF
finish
