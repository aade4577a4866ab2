# Shared by the tests with real processes. Each test is a script that begins with
# the failure it guards against, sources this file and ends with `finish`.
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 1
NAME=$(basename "$0" .sh)
OUT=${OUT:-out}/$NAME
rm -rf "$OUT"
. bench/lib.sh
FAILED=0
trap stop_all EXIT

# expect WHAT COMMAND…: a check that passes if the command succeeds
expect() {
    local what=$1
    shift
    if "$@"; then
        echo "  ok: $what"
    else
        echo "  FAILED: $what ($*)"
        FAILED=$((FAILED + 1))
    fi
}

# start_deployment ENGINES DAEMONS: starts and configures all processes
start_deployment() {
    start_store && start_service && start_engines "$1" && start_daemons "$2" &&
        declare_all "$1" moderation && wait_generation "$2"
}

# expect_complete_answers REPORT: every chat has one complete answer
expect_complete_answers() {
    expect "no wrong answer" [ "$(get "$1" total.wrong)" = 0 ]
    expect "no request without an answer" [ "$(get "$1" unanswered)" = 0 ]
}

fake_check() { "$BUILD/fake-check" "$@"; }
now_ms() { date +%s%3N; }

finish() {
    stop_all
    trap - EXIT
    [ "$FAILED" = 0 ]
    exit
}
