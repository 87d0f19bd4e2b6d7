#!/usr/bin/env bash
# Builds one preset and runs its tests: scripts/test.sh [release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/build.sh "$preset"
if [ "$preset" = release ] && [ -x scripts/model-check.sh ]; then
    scripts/model-check.sh
fi
ctest --preset "$preset" -j "$(nproc)"
