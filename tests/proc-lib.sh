# What the tests with real processes share. Each is a script of its own that
# begins with its story, sources this file and ends with `finish`.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
NAME=$(basename "$0" .sh)
OUT=${OUT:-out}/$NAME
rm -rf "$OUT"
. bench/lib.sh
FAILED=0
trap stop_all EXIT

# expect WHAT COMMAND…: one check
expect() {
    local what=$1
    shift
    if "$@"; then
        echo "  good: $what"
    else
        echo "  FAILED: $what ($*)"
        FAILED=$((FAILED + 1))
    fi
}

# deployment ENGINES DAEMONS: all processes with their configuration
deployment() {
    start_store && start_service && start_engines "$1" && start_daemons "$2" &&
        declare_all "$1" moderation && wait_generation "$2"
}

# whole_and_right REPORT: every chat answered, whole, once
whole_and_right() {
    expect "no wrong answer" [ "$(get "$1" total.wrong)" = 0 ]
    expect "no request without an answer" [ "$(get "$1" unanswered)" = 0 ]
}

check() { "$BUILD/fake-check" "$@"; }
now_ms() { date +%s%3N; }

finish() {
    stop_all
    trap - EXIT
    [ "$FAILED" = 0 ]
    exit
}
