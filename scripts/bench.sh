#!/usr/bin/env bash
# Runs the benchmarks on the release build and writes build/bench/results.json: scripts/bench.sh
# Takes under three minutes after the build.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release
out=build/bench
mkdir -p $out
load_before=$(cut -d' ' -f1-3 /proc/loadavg)
programs=(admission routing burn)
for name in "${programs[@]}"; do
    echo "== $name"
    "build/release/benchmarks/${name}_benchmark" --benchmark_min_time=0.2 --benchmark_color=false \
        --benchmark_out="$out/$name.json" --benchmark_out_format=json
done
echo "== control"
build/release/benchmarks/control/control_benchmark $out/control.json
load_after=$(cut -d' ' -f1-3 /proc/loadavg)
{
    printf '{"commit": "%s",\n"load_before": "%s",\n"load_after": "%s"' \
        "$(git rev-parse HEAD)" "$load_before" "$load_after"
    for name in "${programs[@]}" control; do
        printf ',\n"%s":\n' "$name"
        cat "$out/$name.json"
    done
    echo '}'
} > $out/results.json
echo "load average before: $load_before; after: $load_after; figures: $out/results.json"
