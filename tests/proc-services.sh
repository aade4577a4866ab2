#!/usr/bin/env bash
# Guards against calls of a plain service that are reported as not run but may have
# run, and against queries that don't arrive. One server of an idempotent service
# breaks each call after it was sent, the other cannot be reached; whichever is
# tried last, the call may have run at the first.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 1 1 || exit 1
URL=http://$(daemon_addr 1)/v1/services
ctl declare service ledger idempotent=true longest_s=5 >/dev/null
ctl declare backend ledger-1 kind=service serves=ledger addr="$SERVICE" dc=dc-a >/dev/null
ctl declare backend ledger-2 kind=service serves=ledger addr=127.0.0.1:9 dc=dc-b >/dev/null
control "$SERVICE" '{"cut_before":1000}'
for ((i = 0; i < 12; i++)); do
    curl -s -i --max-time 5 -X POST -H 'Authorization: Bearer key-1' -d '{"key":"x"}' "$URL/ledger/sum" | grep -i '^X-Celeryspool-Outcome' | tr -d '\r'
done >"$OUT/outcomes"
expect "12 answers" [ "$(wc -l <"$OUT/outcomes")" = 12 ]
# Calls that the circuit breaker rejects were never sent; all others may have run.
sent=$(grep '"kind":"sent"' "$OUT/router-1.events" | grep '"ledger-1"' | grep -o '"request":"[0-9a-f]*"' | sort -u)
refused=$(grep '"detail":"not_run"' "$OUT/router-1.events" | grep -o '"request":"[0-9a-f]*"' | sort -u)
expect "some calls were sent: $(echo "$sent" | wc -l)" [ -n "$sent" ]
both=$(comm -12 <(echo "$sent") <(echo "$refused") | grep -c .)
expect "none is reported as not run after it was sent: $both" [ "$both" = 0 ]
control "$SERVICE" '{"cut_before":0}'
got=$(curl -s -G --max-time 5 -H 'Authorization: Bearer key-1' --data-urlencode 'q=two words & more' "$URL/desk/ranks/St.%20Ann")
expect "path and query arrive unchanged: $got" [ "$got" = '{"held":[],"path":"/ranks/St. Ann","q":"two words & more"}' ]
head -c 900000 /dev/zero | tr '\0' 'b' >"$OUT/long"
curl -s -o "$OUT/echo" --max-time 5 -X POST -H 'Authorization: Bearer key-1' -H 'Content-Type: text/plain' --data-binary "@$OUT/long" "$URL/desk/echo"
expect "a long answer arrives complete" cmp -s "$OUT/long" "$OUT/echo"
finish
