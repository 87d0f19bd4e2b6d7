#!/usr/bin/env bash
# Replays traces (all of traces/ by default) and prints CSV; expectations go to standard error.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-packages.sh
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake --preset release > /dev/null
cmake --build build/release --target replay_traces -- --quiet >&2
if [ "$#" -eq 0 ]; then
    set -- traces/*.trace
fi
build/release/tools/replay/replay_traces "$@"
