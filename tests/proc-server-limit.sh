#!/usr/bin/env bash
# Guards against hosts that together exceed the rate limit that a server states.
. "$(dirname "$0")/relay-lib.sh"
HOSTS=3
start_platform 0 2 && start_relays $HOSTS || exit 1
sleep 6 # hosts have settled on each other's number

# arrivals SERVER FROM_MS TO_MS: the arrivals, and the most of them within 4 s
arrivals() {
    grep "^arrival server=$1 " "$RECORD" | sed 's/.*at_ms=//' | awk -v from="$2" -v to="$3" '
        $1 >= from && $1 <= to { at[n++] = $1 }
        END {
            for (start = from; start + 4000 <= to; start += 20) {
                count = 0
                for (i = 0; i < n; i++) count += at[i] >= start && at[i] < start + 4000
                max = count > max ? count : max
            }
            print n + 0, max + 0
        }'
}

post_admin server/p1 '{"limit_per_s":2}'
begin=$(now_ms)
send_load one 11
read -r all most <<<"$(arrivals p1 $((begin + 3000)) $((begin + 10500)))"
expect "one of two states 2 a second: at most 17 arrive in 4 s ($most)" [ "$most" -le 17 ]
expect "more than half of the limit is used ($all of 15 in 7.5 s)" [ "$all" -ge 8 ]
expect "all callers are served" [ "$(grep -c '^200' "$OUT/one")" = $((HOSTS * 11 * 16)) ]

post_admin server/p1 '{"limit_per_s":3}'
post_admin server/p2 '{"limit_per_s":3}'
begin=$(now_ms)
send_load both 11
for server in p1 p2; do
    read -r all most <<<"$(arrivals $server $((begin + 3000)) $((begin + 10500)))"
    expect "both state 3 a second: at most 23 arrive at $server in 4 s ($most)" [ "$most" -le 23 ]
    expect "more than half of the limit of $server is used ($all of 22 in 7.5 s)" [ "$all" -ge 12 ]
done
grep -v '^200' "$OUT/both" >"$OUT/rejected"
expect "the others are rejected" [ "$(grep -c '^503' "$OUT/rejected")" -ge $((HOSTS * 11 * 16 / 2)) ]
expect "with a Retry-After time" [ "$(grep -c '^503 [0-9.]' "$OUT/rejected")" = "$(wc -l <"$OUT/rejected")" ]
late=$(sed -n 's/.*event=end id=both.*status=503 .* total_ms=\([0-9]*\) .*/\1/p' "$OUT"/relay-*.log | awk '$1 > 50' | wc -l)
expect "at once ($late after more than 50 ms)" [ "$late" -le $(($(wc -l <"$OUT/rejected") / 20)) ]

post_admin server/p1 '{"limit_per_s":-1}'
post_admin server/p2 '{"limit_per_s":-1}'
sleep 3
send_load ended 3
expect "all callers are served again once no limit is stated" [ "$(grep -c '^200' "$OUT/ended")" = $((HOSTS * 3 * 16)) ]
finish
