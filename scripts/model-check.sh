#!/usr/bin/env bash
# Checks the models in models/ exhaustively with spin, and that each variant without a guard is found faulty.
# Prints one line per check; the last line is "N passed, N failed". Returns 1 on any failure.
set -euo pipefail
cd "$(dirname "$0")/.."
models=$PWD/models
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# One check: expected result (holds or faulty), model, macros. Writes "ok" or "FAILED" and the line to print.
check() {
    local expected=$1 model=$2
    shift 2
    local name="$model${*:+ $*}"
    local dir="$work/${name// /_}"
    mkdir -p "$dir"
    cd "$dir"
    local result=error detail=""
    if spin -a "$@" "$models/$model.pml" > spin.log 2>&1 && gcc -O1 -w -DSAFETY -DVECTORSZ=1024 -o pan pan.c; then
        timeout 80 ./pan -m1000000 -w23 -n > pan.log 2>&1 || true
        if grep -q 'max search depth too small\|out of memory\|VECTORSZ' pan.log; then
            result=incomplete
        elif grep -q 'errors: 0' pan.log; then
            result=holds
        elif grep -q 'errors: [1-9]' pan.log; then
            result=faulty
        fi
        detail=$(awk '/states, stored/ {print $1 " states"}' pan.log)
    fi
    local verdict=FAILED
    [ "$result" = "$expected" ] && verdict=ok
    echo "$verdict $name: expected $expected, found $result${detail:+, $detail}"
}
export -f check
export models work

checks() {
    cat <<LIST
holds lease_order
holds lease_order -DHANDOVER -DMAX=2
holds record_send_retry
holds freeze_report
holds configuration_versions
faulty lease_order -DNO_WAIT
faulty lease_order -DFROM_REPLY
faulty lease_order -DNO_TOKEN
faulty lease_order -DNO_CHECK
faulty lease_order -DNO_TERM
faulty lease_order -DNO_INTENT
faulty lease_order -DNO_DENSE
faulty lease_order -DHANDOVER -DMAX=2 -DRELEASE_ACTING
faulty record_send_retry -DNO_LOAD
faulty record_send_retry -DGRANT_EARLY
faulty record_send_retry -DNO_TOKEN
faulty record_send_retry -DNO_RELOAD
faulty record_send_retry -DLATE_PERMIT
faulty record_send_retry -DRETRY_UNKNOWN
faulty record_send_retry -DREFUSE_UNKNOWN
faulty freeze_report -DNO_CONDITIONAL
faulty freeze_report -DNO_MARK
faulty freeze_report -DNO_FREEZE
faulty freeze_report -DNO_ADOPT
faulty freeze_report -DNO_ORDER
faulty configuration_versions -DNO_COMPARE
faulty configuration_versions -DNO_PEER_CHECK
faulty configuration_versions -DNO_GOSSIP
holds restored_lease
faulty restored_lease -DNO_ERA_WAIT
faulty restored_lease -DNO_ERA_TERM
faulty restored_lease -DNO_VERSION_TERM
faulty restored_lease -DNO_ERA_CHECK
holds mirrored_watch
holds mirrored_watch -DBOTH
faulty mirrored_watch -DNO_FRESH
faulty mirrored_watch -DNO_TIMEOUT
faulty mirrored_watch -DNO_LIMIT
LIST
}

# Two at a time: the largest check needs about 0.6 GB and the machine is shared.
checks | xargs -P 2 -I{} bash -c 'check {}' | tee "$work/results"
passed=$(grep -c '^ok ' "$work/results" || true)
failed=$(($(checks | wc -l) - passed))
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
