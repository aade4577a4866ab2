#!/usr/bin/env bash
# Guards against a caller that resumes an answer and hangs, or gets a rest that
# does not fit. It resumes at another daemon: once normally, twice at the same
# moment, with a partial answer that does not match its offset, and while the
# replica is frozen. Each time it must get the complete rest or an error within
# seconds, never an end that only looks complete.
. "$(dirname "$0")/proc-lib.sh"
start_deployment 2 2 || exit 1
REQUEST='{"model":"moderation","stream":true,"max_tokens":60,"messages":[{"role":"user","content":"is this comment fine?"}]}'
URL1=http://$(daemon_addr 1)/v1/chat/completions
URL2=http://$(daemon_addr 2)/v1/chat/completions
post() { curl -s -N -X POST -H 'Authorization: Bearer key-1' "$@"; }
words() { grep -o '"content":"[^"]*"' "$1" | sed 's/.*:"//;s/"//' | tr -d '\n'; }
ended() { grep -q 'data: \[DONE\]' "$1"; }
post "$URL1" -d "$REQUEST" >"$OUT/whole"
expect "the whole answer has 60 tokens" [ "$(words "$OUT/whole" | wc -w)" = 60 ]

# cut_stream FILE: a stream whose caller disconnects in the middle
cut_stream() { post --max-time 0.15 "$URL1" -d "$REQUEST" >"$1"; }
last_id() { # the last id, its number set to the count of tokens
    echo "$(grep '^id: ' "$1" | tail -1 | sed 's/^id: //;s/\.[0-9]*$//').$(words "$1" | wc -w)"
}
cut_stream "$OUT/first"
expect "the first part is incomplete" sh -c "! grep -q DONE '$OUT/first'"
post --max-time 5 "$URL2" -H "Last-Event-ID: $(last_id "$OUT/first")" -d "$REQUEST" >"$OUT/rest"
expect "first part and rest make the complete answer" [ "$(words "$OUT/first")$(words "$OUT/rest")" = "$(words "$OUT/whole")" ]

post --max-time 3 "$URL2" -H "Last-Event-ID: $(last_id "$OUT/whole")" -d "$REQUEST" >"$OUT/nothing-left"
expect "with all tokens received, only the end is sent" sh -c "grep -q 'DONE' '$OUT/nothing-left' && ! grep -q content '$OUT/nothing-left'"

cut_stream "$OUT/twice"
id=$(last_id "$OUT/twice")
post --max-time 5 "$URL1" -H "Last-Event-ID: $id" -d "$REQUEST" >"$OUT/twice-1" &
one=$!
post --max-time 5 "$URL2" -H "Last-Event-ID: $id" -d "$REQUEST" >"$OUT/twice-2"
wait $one
for n in 1 2; do
    if ended "$OUT/twice-$n"; then
        expect "concurrent resume $n that ended is complete" [ "$(words "$OUT/twice")$(words "$OUT/twice-$n")" = "$(words "$OUT/whole")" ]
    else
        expect "concurrent resume $n that did not end reports it" grep -q 'stream_lost' "$OUT/twice-$n"
    fi
done

cut_stream "$OUT/wrong"
stop engine-1 KILL
stop engine-2 KILL
run engine-1 "$BUILD/fake-engine" --name engine-1 --listen "$(engine_addr 1)"
run engine-2 "$BUILD/fake-engine" --name engine-2 --listen "$(engine_addr 2)"
wait_for "http://$(engine_addr 1)/truth"
wait_for "http://$(engine_addr 2)/truth"
sleep 1
more="$(words "$OUT/whole" | cut -d' ' -f1-50)" # more tokens than the offset says
REQUEST_WITH_PART=$(echo "$REQUEST" | sed "s/\]}/,{\"role\":\"assistant\",\"content\":\"$more\"}],\"continue_final_message\":true}/")
post --max-time 9 "$URL2" -H "Last-Event-ID: $(last_id "$OUT/wrong")" -d "$REQUEST_WITH_PART" >"$OUT/wrong-rest"
expect "a part that does not match its offset gets no end" sh -c "! grep -q DONE '$OUT/wrong-rest'"
expect "and its caller gets an error" grep -q 'stream_lost' "$OUT/wrong-rest"
part=$(words "$OUT/wrong")
REQUEST_WITH_PART=$(echo "$REQUEST" | sed "s/\]}/,{\"role\":\"assistant\",\"content\":\"$part\"}],\"continue_final_message\":true}/")
post --max-time 9 "$URL2" -H "Last-Event-ID: $(last_id "$OUT/wrong")" -d "$REQUEST_WITH_PART" >"$OUT/moved"
expect "with the right part a caller gets the rest after all replicas restarted" [ "$part$(words "$OUT/moved")" = "$(words "$OUT/whole")" ]

cut_stream "$OUT/frozen"
kill -STOP "${PIDS[engine-1]}" "${PIDS[engine-2]}"
start=$(now_ms)
post --max-time 12 "$URL2" -H "Last-Event-ID: $(last_id "$OUT/frozen")" -d "$REQUEST" >"$OUT/frozen-rest"
took=$(($(now_ms) - start))
kill -CONT "${PIDS[engine-1]}" "${PIDS[engine-2]}"
expect "a resume at a frozen replica ends after $took ms" [ "$took" -lt 8000 ]
expect "and reports that the stream is lost" grep -q 'stream_lost' "$OUT/frozen-rest"
finish
