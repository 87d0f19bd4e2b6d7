# shellcheck shell=bash
# Functions that start stand-ins and daemons on loopback. Source it from the root of the repository after the
# release build; it sets `work`, `pid`, `caller`, `servers` and `backends`, and stops all processes at exit.

# Lowest port; a run uses ports up to 1300 above it. Runs at the same time need different values.
base_port=${BASE_PORT:-18000}
platform_address=127.0.0.1:$((base_port + 1100))
next_backend_port=$((base_port + 1200))
bin=$PWD/build/release
work=$(mktemp -d)
declare -A pid
declare -A caller
declare -a servers backends

stop_all() {
    for name in "${!pid[@]}"; do
        kill -CONT "${pid[$name]}" 2>/dev/null || true
        kill "${pid[$name]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    if [ -n "${KEEP_LOGS:-}" ]; then
        echo "logs are in $work"
    else
        rm -rf "$work"
    fi
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process in the background with its output appended to a file.
start() {
    local name=$1
    shift
    "$@" >> "$work/$name.log" 2>&1 &
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

# backend ID ZONE SERVICE [OPTIONS...]: starts a backend stand-in and lists it.
backend() {
    local id=$1 zone=$2 service=$3 port=$((next_backend_port++))
    shift 3
    start "$id" "$bin/testing/standin_backend/standin_backend" --port "$port" --slots 8 "$@"
    servers+=(--server "$id,$zone,$service,standard,127.0.0.1:$port,8")
    backends+=("127.0.0.1:$port")
}

# platform: starts the platform stand-in with all backend stand-ins started before.
platform() {
    start platform "$bin/testing/standin_platform/standin_platform" --port "${platform_address##*:}" "${servers[@]}"
    await "http://$platform_address/vms"
}

# apply FILE: stores a service document.
apply() {
    "$bin/apps/tool/chicorygap" --platform "$platform_address" apply "$1"
}

# daemon NAME ZONE PORT: writes the settings of a daemon and starts it.
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
seeds = 127.0.0.1:$((base_port + 2)), 127.0.0.1:$((base_port + 22))
[platform]
address = $platform_address
[drain]
delay = 500ms
limit = 1min
INI
    caller[$name]=127.0.0.1:$port
    restart_daemon "$name"
}

# restart_daemon NAME: starts a daemon whose settings exist.
restart_daemon() {
    start "$1" "$bin/apps/daemon/chicorygapd" --config "$work/$1.ini"
}

# four_daemons: starts two daemons in each of two availability zones and waits until they are ready.
four_daemons() {
    daemon vm-a1 a "$base_port"
    daemon vm-a2 a $((base_port + 10))
    daemon vm-b1 b $((base_port + 20))
    daemon vm-b2 b $((base_port + 30))
    local offset
    for offset in 1 11 21 31; do
        await "http://127.0.0.1:$((base_port + offset))/readyz"
    done
    echo "four daemons are ready"
}
