#!/usr/bin/env bash
# Plots the reports of an experiment: the 99th percentile of the time to first
# token over time, one line per policy.
#   bench/plot.sh out/experiment/blue-mahoe
cd "$(dirname "$0")/.." || exit 1
DIR=${1:?usage: bench/plot.sh REPORT_DIRECTORY}
BUILD=${BUILD:-build}
curves=
for report in "$DIR"/*.json; do
    name=$(basename "$report" .json)
    for ((s = 0; s < 600; s++)); do
        p99=$("$BUILD/fake-check" get "$report" "by_second.$s.ttft_p99_ms") || break
        echo "$s $p99"
    done >"$DIR/$name.dat"
    curves="$curves, '$DIR/$name.dat' using 1:2 with lines linewidth 2 title '$name'"
done
gnuplot <<EOF
set terminal pngcairo size 900,500
set output '$DIR/ttft.png'
set logscale y
set xlabel 'time, s'
set ylabel 'p99 of the time to first token, ms'
set key top left
plot ${curves#,}
EOF
echo "$DIR/ttft.png"
