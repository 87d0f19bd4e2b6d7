#!/usr/bin/env bash
# Runs the property tests on fresh seeds: scripts/random-test.sh [ROUNDS]. A property that fails prints its seed, which
# belongs into a test case of its own. scripts/test.sh uses the same seed in every run.
set -euo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-1}
scripts/build.sh release
unset RC_PARAMS
for ((i = 1; i <= rounds; ++i)); do
    ctest --preset release -j "$(nproc)" -R '^(admission|backend|dispatch|distribution|document|front|idempotency|membership|orders|peer|retry|routing|usage)$'
done
