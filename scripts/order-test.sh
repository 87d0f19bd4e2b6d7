#!/usr/bin/env bash
# Sends only orders through four daemons for about 60 s, retried through other daemons, while pairs of daemons are
# killed and restarted and others are paused. Returns 1 if an order ran twice or a refusal stated "not run" falsely.
# Usage: scripts/order-test.sh [SECONDS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-60}
seed=${2:-7}
scripts/build.sh release
# Other ports than those of demo.sh, so that both can run at the same time.
BASE_PORT=${BASE_PORT:-20000}
source scripts/lib/fleet.sh

for zone in a b; do
    for service in booking dispatch; do
        for n in 1 2; do
            backend "$service-$zone$n" "$zone" "$service" --plain-ms 20
        done
    done
done
platform
apply_copy() {
    cp "config/$1.ini" "$work"
    apply "$work/$1.ini"
}
apply_copy booking
apply_copy dispatch
four_daemons

"$bin/testing/load_client/load_client" --daemons "$(IFS=,; echo "${caller[*]}")" \
    --backends "$(IFS=,; echo "${backends[*]}")" --mix orders --seconds "$seconds" --callers 24 --pause-ms 20 \
    --seed "$seed" > "$work/load.log" 2>&1 &
load=$!

RANDOM=$seed
names=(vm-a1 vm-a2 vm-b1 vm-b2)
end=$((SECONDS + seconds))
declare -A resume_at
kills=0
pauses=0

# resume_due: resumes the daemons whose pause has ended.
resume_due() {
    local name
    for name in "${!resume_at[@]}"; do
        if [ "$SECONDS" -ge "${resume_at[$name]}" ]; then
            kill -CONT "${pid[$name]}"
            unset "resume_at[$name]"
        fi
    done
}

# kill_pair FIRST SECOND: kills two daemons and restarts them after 1 to 3 s.
kill_pair() {
    local name
    for name in "$@"; do
        kill -KILL "${pid[$name]}"
        unset "resume_at[$name]"
    done
    for name in "$@"; do
        wait "${pid[$name]}" 2>/dev/null || true
    done
    sleep $((1 + RANDOM % 3))
    for name in "$@"; do
        restart_daemon "$name"
    done
    kills=$((kills + $#))
}

while [ "$SECONDS" -lt "$end" ]; do
    sleep 1
    resume_due
    if [ $((RANDOM % 6)) -eq 0 ]; then
        first=$((RANDOM % 4))
        kill_pair "${names[$first]}" "${names[$(((first + 1 + RANDOM % 3) % 4))]}"
    elif [ $((RANDOM % 3)) -eq 0 ]; then
        name=${names[$((RANDOM % 4))]}
        if [ -z "${resume_at[$name]:-}" ]; then
            kill -STOP "${pid[$name]}"
            resume_at[$name]=$((SECONDS + 1 + RANDOM % 20))
            pauses=$((pauses + 1))
        fi
    fi
done
for name in "${!resume_at[@]}"; do
    kill -CONT "${pid[$name]}"
done
wait "$load" || true
grep -v '^order .* ran on a stand-in' "$work/load.log"
echo "daemons killed: $kills, pauses: $pauses"
grep -q ', double runs 0, false not run 0 ' "$work/load.log"
