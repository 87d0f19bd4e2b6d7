#!/usr/bin/env bash
# Builds the fuzz targets with clang and runs each on its seeds: scripts/fuzz.sh [runs]
# Prints one line per target; the last line is "N passed, N failed". Returns 1 on any failure. The input of a
# failure stays in build/fuzz/failures.
set -euo pipefail
cd "$(dirname "$0")/.."
export runs=${1:-20000}
scripts/install-packages.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake --preset fuzz > /dev/null
cmake --build build/fuzz --target fuzz_targets -- --quiet
rm -rf build/fuzz/failures
mkdir -p build/fuzz/failures

run() {
    local name=$1
    local log=build/fuzz/failures/$name.log corpus=build/fuzz/corpus/$name
    # New inputs go to an empty folder, so that equal runs start equally.
    rm -rf "$corpus"
    mkdir -p "$corpus"
    # Slow targets stop after 15 seconds; the line of the target tells how many runs were made.
    if UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1 "build/fuzz/fuzz/fuzz_$name" -runs="$runs" \
        -max_total_time=15 -max_len=4096 -timeout=10 -seed=1 -artifact_prefix="build/fuzz/failures/$name-" \
        "$corpus" "fuzz/seeds/$name" > "$log" 2>&1; then
        echo "ok $name: $(grep -o 'Done [0-9]* runs in [0-9]* second' "$log")s"
        rm "$log"
    else
        echo "FAILED $name: $(grep -m1 -E 'ERROR|runtime error|property violated|what\(\)' "$log" || echo "see $log")"
    fi
}
export -f run

targets=$(ls fuzz/*_fuzz.cpp | sed 's|fuzz/\(.*\)_fuzz.cpp|\1|')
# Three at a time: the machine is shared, and 15 targets of 15 seconds then take at most 75 seconds.
printf '%s\n' $targets | xargs -P 3 -I{} bash -c 'run {}' | tee build/fuzz/results
passed=$(grep -c '^ok ' build/fuzz/results || true)
failed=$(($(wc -w <<< "$targets") - passed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
