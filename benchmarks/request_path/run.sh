#!/usr/bin/env bash
# Measures front and backend against the stand-in engine: benchmarks/request_path/run.sh
# Three processes, so that the memory of the router is not mixed with that of the load and the engine.
set -euo pipefail
cd "$(dirname "$0")/../.."
build=build/release
dir=$(mktemp -d)
pids=()
cleanup() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$dir"
}
trap cleanup EXIT
# Starts "$@" and waits for the port on its first line, which it stores in the variable `port`.
start() {
    mkfifo "$dir/port.${#pids[@]}"
    "$@" > "$dir/port.${#pids[@]}" &
    local fifo="$dir/port.${#pids[@]}"
    pids+=($!)
    read -r port < "$fifo"
}
start $build/testing/standin_backend/standin_backend --threads 4600 --slots 4500 --first-token-us 5000 --token-us 80000
engine_port=$port
start $build/benchmarks/request_path/request_path_router "$engine_port"
$build/benchmarks/request_path/request_path_benchmark "$engine_port" "$port" "${pids[1]}"
