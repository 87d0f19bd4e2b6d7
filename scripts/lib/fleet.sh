# Functions that start stand-ins and daemons on loopback. Source it from the root of the repository after the
# release build; it sets `work`, `pid`, `caller`, `servers` and `backends`, and stops all processes at exit.

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
    [ -n "${KEEP_LOGS:-}" ] && echo "logs are in $work" || rm -rf "$work"
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

# backend ID ZONE SERVICE PORT [OPTIONS...]: starts a backend stand-in and lists it.
backend() {
    local id=$1 zone=$2 service=$3 port=$4
    shift 4
    start "$id" "$bin/testing/standin_backend/standin_backend" --port "$port" --slots 8 "$@"
    servers+=(--server "$id,$zone,$service,standard,127.0.0.1:$port,8")
    backends+=("127.0.0.1:$port")
}

# platform: starts the platform stand-in with all backend stand-ins started before.
platform() {
    start platform "$bin/testing/standin_platform/standin_platform" --port 19100 "${servers[@]}"
    await http://127.0.0.1:19100/vms
}

# apply FILE: stores a service document.
apply() {
    "$bin/apps/tool/chicorygap" --platform 127.0.0.1:19100 apply "$1"
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
seeds = 127.0.0.1:18002, 127.0.0.1:18022
[platform]
address = 127.0.0.1:19100
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
    daemon vm-a1 a 18000
    daemon vm-a2 a 18010
    daemon vm-b1 b 18020
    daemon vm-b2 b 18030
    local port
    for port in 18001 18011 18021 18031; do
        await "http://127.0.0.1:$port/readyz"
    done
    echo "four daemons are ready"
}
