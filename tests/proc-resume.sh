#!/usr/bin/env bash
# A caller that comes back for the rest of an answer hangs, or gets a rest that
# does not fit. It comes back at another daemon: once as it should, twice at
# the same moment, with a part of the answer that does not match its offset,
# and while the replica is frozen. Each time it must get the whole rest or an
# error within seconds, never an end that only looks whole.
. "$(dirname "$0")/proc-lib.sh"
deployment 2 2 || exit 1
ASK='{"model":"moderation","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"is this comment fine?"}]}'
AT1=http://$(daemon_addr 1)/v1/chat/completions
AT2=http://$(daemon_addr 2)/v1/chat/completions
post() { curl -s -N -X POST -H 'Authorization: Bearer key-1' "$@"; }
words() { grep -o '"content":"[^"]*"' "$1" | sed 's/.*:"//;s/"//' | tr -d '\n'; }
ended() { grep -q 'data: \[DONE\]' "$1"; }
post "$AT1" -d "$ASK" >"$OUT/whole"
expect "the whole answer has 60 tokens" [ "$(words "$OUT/whole" | wc -w)" = 60 ]

# cut_at FILE: a stream that its caller loses in the middle
cut_at() { post --max-time 0.15 "$AT1" -d "$ASK" >"$1"; }
last_id() { # the last id, its number set to the count of tokens
    echo "$(grep '^id: ' "$1" | tail -1 | sed 's/^id: //;s/\.[0-9]*$//').$(words "$1" | wc -w)"
}
cut_at "$OUT/first"
expect "the first part is a part" sh -c "! grep -q DONE '$OUT/first'"
post --max-time 5 "$AT2" -H "Last-Event-ID: $(last_id "$OUT/first")" -d "$ASK" >"$OUT/rest"
expect "first part and rest are the whole" [ "$(words "$OUT/first")$(words "$OUT/rest")" = "$(words "$OUT/whole")" ]

post --max-time 3 "$AT2" -H "Last-Event-ID: $(last_id "$OUT/whole")" -d "$ASK" >"$OUT/nothing-left"
expect "with all tokens there, the end alone is sent" sh -c "grep -q 'DONE' '$OUT/nothing-left' && ! grep -q content '$OUT/nothing-left'"

cut_at "$OUT/twice"
id=$(last_id "$OUT/twice")
post --max-time 5 "$AT1" -H "Last-Event-ID: $id" -d "$ASK" >"$OUT/twice-1" &
one=$!
post --max-time 5 "$AT2" -H "Last-Event-ID: $id" -d "$ASK" >"$OUT/twice-2"
wait $one
for n in 1 2; do
    if ended "$OUT/twice-$n"; then
        expect "crossed resume $n that ended is whole" [ "$(words "$OUT/twice")$(words "$OUT/twice-$n")" = "$(words "$OUT/whole")" ]
    else
        expect "crossed resume $n that did not end says so" grep -q 'stream_lost' "$OUT/twice-$n"
    fi
done

cut_at "$OUT/wrong"
stop engine-1 KILL
stop engine-2 KILL
run engine-1 "$BUILD/fake-engine" --name engine-1 --listen "$(engine_addr 1)"
run engine-2 "$BUILD/fake-engine" --name engine-2 --listen "$(engine_addr 2)"
wait_for "http://$(engine_addr 1)/truth"
wait_for "http://$(engine_addr 2)/truth"
sleep 1
more="$(words "$OUT/whole" | cut -d' ' -f1-50)" # more than the offset says
LONG=$(echo "$ASK" | sed "s/\]}/,{\"role\":\"assistant\",\"content\":\"$more\"}],\"continue_final_message\":true}/")
post --max-time 9 "$AT2" -H "Last-Event-ID: $(last_id "$OUT/wrong")" -d "$LONG" >"$OUT/wrong-rest"
expect "a part that does not match its offset is no whole answer" sh -c "! grep -q DONE '$OUT/wrong-rest'"
expect "and its caller is told so" grep -q 'stream_lost' "$OUT/wrong-rest"
part=$(words "$OUT/wrong")
LONG=$(echo "$ASK" | sed "s/\]}/,{\"role\":\"assistant\",\"content\":\"$part\"}],\"continue_final_message\":true}/")
post --max-time 9 "$AT2" -H "Last-Event-ID: $(last_id "$OUT/wrong")" -d "$LONG" >"$OUT/moved"
expect "with its own part a caller gets the rest after all died" [ "$part$(words "$OUT/moved")" = "$(words "$OUT/whole")" ]

cut_at "$OUT/frozen"
kill -STOP "${PIDS[engine-1]}" "${PIDS[engine-2]}"
start=$(now_ms)
post --max-time 12 "$AT2" -H "Last-Event-ID: $(last_id "$OUT/frozen")" -d "$ASK" >"$OUT/frozen-rest"
took=$(($(now_ms) - start))
kill -CONT "${PIDS[engine-1]}" "${PIDS[engine-2]}"
expect "a resume at a frozen replica ends after $took ms" [ "$took" -lt 8000 ]
expect "and says that the stream is lost" grep -q 'stream_lost' "$OUT/frozen-rest"
finish
