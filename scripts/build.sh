#!/usr/bin/env bash
# Builds one preset: scripts/build.sh [release|asan|tsan|fuzz]
set -euo pipefail
cd "$(dirname "$0")/.."
preset=${1:-release}
scripts/install-packages.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset" -- --quiet
