#!/usr/bin/env bash
# Runs the randomized soak: scripts/soak.sh [--seconds N] [--jobs N] [SEED...]
# Without seeds it takes those of testing/soak/regression-seeds.txt. Prints one line a seed; the last line is
# "N passed, N failed". Returns 1 on any failure. The logs of a failed seed stay in build/soak/SEED.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=10
jobs=2
while [ "$#" -gt 1 ] && [[ $1 == --* ]]; do
    case $1 in
        --seconds) seconds=$2 ;;
        --jobs) jobs=$2 ;;
        *) sed -n 2,4p "$0" >&2; exit 2 ;;
    esac
    shift 2
done
seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
    mapfile -t seeds < <(grep -oE '^[0-9]+' testing/soak/regression-seeds.txt)
fi
scripts/build.sh release
export seconds
rm -rf build/soak
mkdir -p build/soak

# run INDEX SEED: each run has loopback addresses of its own.
run() {
    local folder=build/soak/$2
    mkdir -p "$folder"
    if build/release/testing/soak/soak --seed "$2" --seconds "$seconds" --folder "$folder" \
        --subnet $((71 + $1 % 100)) > "$folder/soak.txt" 2>&1; then
        tail -n 1 "$folder/soak.txt"
        rm -rf "$folder"
    else
        grep -E '^(broken|seed)' "$folder/soak.txt" | head -n 12
        echo "FAILED seed $2, logs in $folder"
    fi
}
export -f run
for i in "${!seeds[@]}"; do
    echo "$i ${seeds[$i]}"
done | xargs -P "$jobs" -L 1 bash -c 'run "$0" "$1"' | tee build/soak/results
failed=$(grep -c '^FAILED' build/soak/results || true)
echo "$((${#seeds[@]} - failed)) passed, $failed failed"
[ "$failed" -eq 0 ]
