#!/usr/bin/env bash
# Guards against hosts that go on sending to a server that has asked them for rest.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
start_platform 0 2 && start_relays $HOSTS || exit 1
sleep 2.2 # a daemon makes no retries just after its start

# most_in_rest HOST SERVER REST_MS: the most sends of a host to a server between
# half a second after one of its rejections and the end of the rest
most_in_rest() {
    sed -n "s/^t=\([0-9]*\) .*event=\(chosen\|send-failed\) .*server=$2 .*/\1 \2/p" "$OUT/relay-$1.log" | awk -v rest="$3" '
        $2 == "chosen" { sent[n++] = $1 }
        $2 == "send-failed" { rejected[m++] = $1 }
        END {
            for (i = 0; i < m; i++) {
                count = 0
                for (j = 0; j < n; j++) count += sent[j] > rejected[i] + 500 && sent[j] < rejected[i] + rest
                most = count > most ? count : most
            }
            print most + 0
        }'
}

post_admin server/p1 '{"mode":"shed","rest_s":3}'
send_load one 8
for ((host = 1; host <= HOSTS; host++)); do
    expect "host $host heard of the rest" grep -q 'event=send-failed .*server=p1' "$OUT/relay-$host.log"
    most=$(most_in_rest $host p1 3000)
    expect "host $host sends two requests at most in 3 s of rest ($most)" [ "$most" -le 2 ]
done
expect "all callers are served by the other server" [ "$(grep -c '^200' "$OUT/one")" = $((HOSTS * 8 * 16)) ]
expect "no server counts as faulty" [ "$(cat "$OUT"/relay-*.log | grep -c 'event=silent')" = 0 ]

post_admin server/p2 '{"mode":"shed","rest_s":2.5}'
send_load both 3
grep '^503' "$OUT/both" >"$OUT/rejected"
expect "with both at rest callers are rejected" [ "$(wc -l <"$OUT/rejected")" -ge $((HOSTS * 3 * 16 * 9 / 10)) ]
expect "and told the rest that is left" [ "$(awk '$2 > 0 && $2 <= 3.5' "$OUT/rejected" | wc -l)" = "$(wc -l <"$OUT/rejected")" ]
for ((host = 1; host <= HOSTS; host++)); do
    most=$(most_in_rest $host p2 2500)
    expect "host $host sends two requests at most in 2.5 s of rest ($most)" [ "$most" -le 2 ]
done

post_admin server/p1 '{"mode":"well"}'
post_admin server/p2 '{"mode":"well"}'
sleep 3.5
send_load after 2
expect "all callers are served after the rest" [ "$(grep -c '^200' "$OUT/after")" = $((HOSTS * 2 * 16)) ]
finish
