#!/usr/bin/env bash
# Guards against lengths that are learned from parts of streams: only a stream that
# is passed on whole counts, as its events times the tokens of an event.
. "$(dirname "$0")/relay-lib.sh"
start_platform 1 1 || exit 1
relay_config 2 | sed 's/"slots":8/&,"stride":9/' >"$OUT/config-2.json"
post_admin object/config/main "@$OUT/config-2.json"
start_relays 1 || exit 1

# stream ID [CURL OPTION…]: prints the cost in the record of its placement
stream() {
    local id=$1
    shift
    ID=$id send_request 1 /review/x "${KEY1[@]}" "${LLM_HEADERS[@]}" "$@" -d body >"$OUT/$id"
    wait_line "$OUT/relay-1.log" "part=request event=end id=$id " 2
    sed -n "s/.*part=place event=chosen id=$id .* cost=\([0-9]*\).*/\1/p" "$OUT/relay-1.log" | head -1
}
metric() {
    curl -s --max-time 2 "http://$(metrics_addr 1)/metrics" | sed -n "s/^celeryspool_$1{route=\"$2\"} //p"
}

expect "without answers half of the maximum is expected" [ "$(stream first -H 'X-Celeryspool-Token-Usage: 1460,80')" = 40 ]
expect "eight events of nine tokens are learned" [ "$(metric output_tokens review)" = 72.0 ]
expect "the error is that of the expected 40 tokens" [ "$(metric output_tokens_error review)" = 32.0 ]
expect "the expected tokens are shown" [ "$(metric output_tokens_expected review)" = 40.0 ]
expect "the next request is expected to be as long" [ "$(stream second)" = 72 ]
expect "a hint is followed at first" [ "$(stream hinted -H 'X-Celeryspool-Length-Hint: 64')" = 64 ]
expect "an impossible hint is ignored" [ "$(stream impossible -H 'X-Celeryspool-Length-Hint: -64')" = 72 ]
expect "how long a slot is held is learned" [ -n "$(metric hold_ms review)" ]

stream resumed -H 'Last-Event-Id: 6' -H 'Resumes: first' >/dev/null
expect "a stream that is taken up is answered" grep -q token-8 "$OUT/resumed"
expect "it is not learned" [ "$(metric output_tokens review)" = 72.0 ]
engine e1 '{"mode":"cut"}'
stream cut >/dev/null
engine e1 '{"mode":"well"}'
expect "a stream that is cut off is not learned" [ "$(metric output_tokens review)" = 72.0 ]

send_request 1 /read/x "${KEY1[@]}" >/dev/null
expect "how long a plain server takes is learned" [ -n "$(metric hold_ms read)" ]
expect "an answer that is no stream has no tokens" [ -z "$(metric output_tokens read)" ]
finish
