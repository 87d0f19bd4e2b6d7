#!/usr/bin/env bash
# Runs clang-tidy on the given sources, or on all C++ sources of the repository.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset release > /dev/null
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.cpp' | grep -v '^fuzz/')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy --quiet -p build/release 2>/tmp/clang-tidy.$$ || {
    echo "clang-tidy: faults found"; exit 1; }
echo "clang-tidy: ${#files[@]} files clean"
