#!/usr/bin/env bash
# Starts stand-ins and four daemons in two availability zones on loopback, sends the mix of both deployments, takes
# two daemons and one backend server away and drains a third daemon in the middle, and prints the outcomes by
# class. Returns 1 if a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh release

bin=$PWD/build/release
work=$(mktemp -d)
declare -A pid
declare -A caller

stop_all() {
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null || true
        kill "${pid[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ -n "${KEEP_LOGS:-}" ] && echo "logs are in $work" || rm -rf "$work"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background with its output in a file.
start() {
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    pid[$name]=$!
}

# await URL: waits until an HTTP address answers with success.
await() {
    for _ in $(seq 100); do
        curl -sf -o /dev/null "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}

declare -a servers backends
# backend ID ZONE SERVICE PORT [OPTIONS...]: starts a backend stand-in and lists it.
backend() {
    local id=$1 zone=$2 service=$3 port=$4
    shift 4
    start "$id" "$bin/testing/standin_backend/standin_backend" --port "$port" --slots 8 "$@"
    servers+=(--server "$id,$zone,$service,standard,127.0.0.1:$port,8")
    backends+=("127.0.0.1:$port")
}

port=19200
for zone in a b; do
    for service in booking-assistant dispatch-assistant booking dispatch; do
        for n in 1 2; do
            backend "$service-$zone$n" "$zone" "$service" $((port++))
        done
    done
done
start platform "$bin/testing/standin_platform/standin_platform" --port 19100 "${servers[@]}"
await http://127.0.0.1:19100/vms

# Both deployments share this fleet, so that only one of them can offer the path without a class prefix.
awk '/^\[/ { skip = ($0 == "[route default]") } !skip' config/dispatch-assistant.ini > "$work/dispatch-assistant.ini"
cp config/booking.ini config/booking-assistant.ini config/dispatch.ini "$work"
for service in booking booking-assistant dispatch dispatch-assistant; do
    "$bin/apps/tool/chicorygap" --platform 127.0.0.1:19100 apply "$work/$service.ini"
done

# daemon NAME ZONE PORT
daemon() {
    local name=$1 zone=$2 port=$3
    cat > "$work/$name.ini" <<INI
[daemon]
vm = $name
zone = $zone
[listen]
callers = 127.0.0.1:$port
operators = 127.0.0.1:$((port + 1))
peers = 127.0.0.1:$((port + 2))
[peers]
seeds = 127.0.0.1:18002, 127.0.0.1:18022
[platform]
address = 127.0.0.1:19100
[drain]
delay = 500ms
limit = 1min
INI
    caller[$name]=127.0.0.1:$port
    start "$name" "$bin/apps/daemon/chicorygapd" --config "$work/$name.ini"
}

daemon vm-a1 a 18000
daemon vm-a2 a 18010
daemon vm-b1 b 18020
daemon vm-b2 b 18030
for port in 18001 18011 18021 18031; do
    await "http://127.0.0.1:$port/readyz"
done
echo "four daemons are ready"

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
