#!/usr/bin/env bash
# Starts stand-ins and four daemons in two availability zones on loopback, sends the mix of both deployments, takes
# two daemons and one backend server away and drains a third daemon in the middle, and prints the outcomes by
# class. Returns 1 if a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release

source scripts/lib/fleet.sh

for zone in a b; do
    for service in booking-assistant dispatch-assistant booking dispatch; do
        for n in 1 2; do
            backend "$service-$zone$n" "$zone" "$service"
        done
    done
done
platform

# Both deployments share this fleet, so that only one of them can offer the path without a class prefix.
awk '/^\[/ { skip = ($0 == "[route default]") } !skip' config/dispatch-assistant.ini > "$work/dispatch-assistant.ini"
cp config/booking.ini config/booking-assistant.ini config/dispatch.ini "$work"
for service in booking booking-assistant dispatch dispatch-assistant; do
    apply "$work/$service.ini"
done

four_daemons

"$bin/testing/load_client/load_client" --daemons "$(IFS=,; echo "${caller[*]}")" \
    --backends "$(IFS=,; echo "${backends[*]}")" --requests "${REQUESTS:-1000}" --callers 24 --pause-ms 150 --seed 7 &
load=$!

sleep 3
echo "killing daemon vm-a1 and backend server booking-assistant-a1"
kill -KILL "${pid[vm-a1]}" "${pid[booking-assistant-a1]}"
sleep 1
echo "draining daemon vm-b2"
kill -TERM "${pid[vm-b2]}"
sleep 1
echo "killing daemon vm-b1"
kill -KILL "${pid[vm-b1]}"
wait "$load"
