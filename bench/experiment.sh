#!/usr/bin/env bash
# Runs one workload against several placement policies, each in a fresh deployment
# of the same size: nine replicas, four daemons, three data centres, eight
# workspaces.
#   bench/experiment.sh FILE [POLICY…]      writes out/experiment/NAME/POLICY.json
# ENGINE_ARGS sets the options of the replicas; RATE and EXTRA ("-o key=value …")
# override options of the load.
cd "$(dirname "$0")/.." || exit 1
FILE=$1
shift
POLICIES=("$@")
[ ${#POLICIES[@]} = 0 ] && POLICIES=(cost least-loaded first-level round-robin)
NAME=$(basename "$FILE" .ini)
OUT=${OUT:-out/experiment}/$NAME
. bench/lib.sh
LOG_LEVEL=warn
trap stop_all EXIT
ENGINE_ARGS=${ENGINE_ARGS:---prefill-rate 20000 --blocks 4096 --slots 64}
OBJECTIVE=$(sed -n 's/^; objective = //p' "$FILE")
engines=
for ((i = 1; i <= 9; i++)); do engines="$engines,$(engine_addr "$i")"; done
mkdir -p "$OUT"
printf '%-14s %6s %6s %5s %7s %7s %7s %7s %6s %6s\n' policy done refus unkn p50_ms p95_ms p99_ms hits recomp wrong
for policy in "${POLICIES[@]}"; do
    rm -f "$OUT"/*.events
    start_store && start_engines 9 $ENGINE_ARGS && start_daemons 4 && declare_all 9 moderation &&
        ctl policy "$policy" >/dev/null && ctl objective "${OBJECTIVE:-tail}" >/dev/null && wait_generation 4 || exit 1
    report=$OUT/$policy.json
    load -f "$FILE" -o "targets=$(targets 4)" -o "engines=${engines#,}" ${RATE:+-o rate=$RATE} ${EXTRA:-} -w "$report"
    printf '%-14s %6s %6s %5s %7.1f %7.1f %7.1f %7.4f %6.4f %6s\n' "$policy" \
        "$(get "$report" total.done)" "$(get "$report" total.refused)" "$(get "$report" total.unknown)" \
        "$(get "$report" total.ttft_p50_ms)" "$(get "$report" total.ttft_p95_ms)" "$(get "$report" total.ttft_p99_ms)" \
        "$(get "$report" prompts.hit_rate)" "$(get "$report" prompts.recomputed_rate)" "$(get "$report" total.wrong)"
    stop_all
done
