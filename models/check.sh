#!/usr/bin/env bash
# Checks the models exhaustively with spin. Each guard is also checked to be
# necessary: with the guard switched off, the rule must be violated.
cd "$(dirname "$0")" || exit 1
OUT=${OUT:-../out/models}
mkdir -p "$OUT"
OUT=$(cd "$OUT" && pwd)
passed=0
failed=0
# check_model MODEL EXPECTED DEFINES…: EXPECTED is "holds" or "breaks"
check_model() {
    local model=$1 expected=$2 work actual states
    shift 2
    work=$OUT/$model-$expected
    mkdir -p "$work"
    (cd "$work" && spin -a "$@" "$OLDPWD/$model.pml" >spin.log && gcc -O2 -DSAFETY -DMEMLIM=2048 -w -o pan pan.c &&
        timeout 120 ./pan -m100000 >pan.log 2>&1)
    actual=inconclusive
    grep -q 'errors: 0' "$work/pan.log" && actual=holds
    grep -q 'assertion violated' "$work/pan.log" && actual=breaks
    grep -qE 'max search depth too small|out of memory|Search not completed' "$work/pan.log" && [ $actual = holds ] && actual=inconclusive
    states=$(awk '/states, stored/{print $1}' "$work/pan.log")
    if [ "$actual" = "$expected" ]; then
        passed=$((passed + 1))
        echo "  good: $model $* $expected, $states states"
    else
        failed=$((failed + 1))
        echo "  FAILED: $model $*: expected $expected, got $actual"
    fi
}
check_model claim holds -DGUARD=1
check_model claim breaks -DGUARD=0
check_model config holds -DGUARD=1
check_model config breaks -DGUARD=0
check_model order holds -DFENCED=1
check_model order holds -DFENCED=0
check_model lease holds -DGUARD=1
check_model lease breaks -DGUARD=0
check_model lease breaks -DCOUNT_CHECKED=0
echo "models: $passed passed, $failed failed"
[ $failed = 0 ]
