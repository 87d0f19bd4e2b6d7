#!/usr/bin/env bash
# Formats the C++ sources in place; with --check only reports differences and fails on any.
set -euo pipefail
cd "$(dirname "$0")/.."
# Generated code keeps the generator's format.
mapfile -t files < <(git ls-files --cached --others --exclude-standard -- '*.h' '*.cpp' ':!:packages/peer/generated' ':!:packages/sharing/generated')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${files[@]}"
else
    clang-format -i "${files[@]}"
fi
