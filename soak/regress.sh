#!/usr/bin/env bash
# Runs the soak with every seed of soak/seeds.txt and five times with one more:
# SEED, or 1, without and with signals of servers, with hosts cut off, with
# several software versions, and with engines that admit by priority.
cd "$(dirname "$0")/.." || exit 1
BUILD=${BUILD:-build}
OUT=${OUT:-out}
mkdir -p "$OUT"
failed=0
while read -r seed seconds more _; do
    case $seed in '#'* | '') continue ;; esac
    options=()
    case $more in --*) options=("$more") ;; esac
    "$BUILD/soak/soak" --seed "$seed" --seconds "$seconds" --build "$BUILD" --port $((21000 + ${BASE:-0})) --dir "$OUT/soak-$seed" "${options[@]}" >"$OUT/soak-$seed.out" 2>&1 || {
        cat "$OUT/soak-$seed.out"
        # An entry names in brackets the one guarantee that it passes over.
        known=$(sed -n "s/^soak-$seed${options[*]}: \[\([^]]*\)\].*/\1/p" KNOWN-RED.txt)
        if [ -n "$known" ] && grep -q VIOLATED "$OUT/soak-$seed.out" && ! grep VIOLATED "$OUT/soak-$seed.out" | grep -qvF "VIOLATED $known:"; then
            echo "  known failure (KNOWN-RED.txt)"
        else
            failed=$((failed + 1))
        fi
    }
    tail -n 1 "$OUT/soak-$seed.out"
done < <(cat soak/seeds.txt; echo "${SEED:-1} 8"; echo "${SEED:-1} 8 --signals"; echo "${SEED:-1} 12 --cuts"; echo "${SEED:-1} 15 --versions"; echo "${SEED:-1} 12 --priorities")
[ "$failed" = 0 ]
