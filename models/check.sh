#!/usr/bin/env bash
# Checks the models exhaustively with spin, and that each guard matters: with
# it switched off the rule must break.
cd "$(dirname "$0")" || exit 1
OUT=${OUT:-../out/models}
mkdir -p "$OUT"
OUT=$(cd "$OUT" && pwd)
passed=0
failed=0
# run MODEL WANT DEFINES…: WANT is "holds" or "breaks"
run() {
    local model=$1 want=$2 work got states
    shift 2
    work=$OUT/$model-$want
    mkdir -p "$work"
    (cd "$work" && spin -a "$@" "$OLDPWD/$model.pml" >spin.log && gcc -O2 -DSAFETY -DMEMLIM=2048 -w -o pan pan.c &&
        timeout 120 ./pan -m100000 >pan.log 2>&1)
    got=unclear
    grep -q 'errors: 0' "$work/pan.log" && got=holds
    grep -q 'assertion violated' "$work/pan.log" && got=breaks
    grep -qE 'max search depth too small|out of memory|Search not completed' "$work/pan.log" && [ $got = holds ] && got=unclear
    states=$(awk '/states, stored/{print $1}' "$work/pan.log")
    if [ "$got" = "$want" ]; then
        passed=$((passed + 1))
        echo "  good: $model $* $want, $states states"
    else
        failed=$((failed + 1))
        echo "  FAILED: $model $*: wanted $want, got $got"
    fi
}
run claim holds -DGUARD=1
run claim breaks -DGUARD=0
run config holds -DGUARD=1
run config breaks -DGUARD=0
run order holds -DFENCED=1
run order holds -DFENCED=0
run lease holds -DGUARD=1
run lease breaks -DGUARD=0
run lease breaks -DCOUNTED=0
echo "models: $passed passed, $failed failed"
[ $failed = 0 ]
