# Functions that start stand-ins and entry hosts on loopback, for ./Meta/try and the tests with real processes.
# Use: source this file, set "build" and "work" (a fresh folder), call the functions, and finish with stop_all.
# Ports are counted from "base_port", so that several deployments can run side by side.

build=${build:-Build}
base_port=${base_port:-18000}
pids=()
declare -A pid_of

# start NAME COMMAND...: starts a process and remembers its pid.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pid_of[$name]=$!
    pids+=($!)
}

# stop_all: ends every process that start has started, gracefully first.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -TERM "$pid" 2>/dev/null || true
    done
    for _ in $(seq 100); do
        local alive=0
        for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && alive=1; done
        [ $alive -eq 0 ] && break
        sleep 0.05
    done
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

# wait_for URL: waits until the URL answers with success.
wait_for() {
    for _ in $(seq 300); do
        curl -sf -m 2 -o /dev/null "$1" && return 0
        sleep 0.05
    done
    echo "no answer from $1" >&2
    return 1
}

platform_address="127.0.0.1:$base_port"
engine_address() { echo "127.0.0.1:$((base_port + 100 + $1))"; }
service_address() { echo "127.0.0.1:$((base_port + 200 + $1))"; }
host_address() { echo "127.0.0.1:$((base_port + 300 + $1))"; }
peer_address() { echo "127.0.0.1:$((base_port + 400 + $1))"; }

# write_machines ZONES ENGINES_PER_ZONE: writes the host list with one application service a zone.
write_machines() {
    local zone engine number=0 separator=""
    {
        echo "["
        for zone in $(seq "$1"); do
            for engine in $(seq "$2"); do
                number=$((number + 1))
                printf '%s{"kind":"engine","state":"live","name":"engine-%d","zone":"zone-%d","address":"%s","role":"base","checksFence":true}\n' \
                    "$separator" "$number" "$zone" "$(engine_address "$number")"
                separator=","
            done
            printf ',{"kind":"service","state":"live","name":"seats-%d","zone":"zone-%d","address":"%s","role":"seats","checksFence":false}\n' \
                "$zone" "$zone" "$(service_address "$zone")"
        done
        echo "]"
    } >"$work/machines.json"
}

# write_settings HOST ZONE: writes the settings of one entry host.
write_settings() {
    cat >"$work/host-$1.json" <<SETTINGS
{
    // Entry host $1, on loopback.
    "host": {"id": "host-$1", "zone": "zone-$2"},
    "listen": {"callers": "$(host_address "$1")", "peers": "$(peer_address "$1")"},
    "platform": {"address": "$platform_address"},
    "peerKey": "peer-secret",
    "callers": [{"customer": "noor", "token": "noor-token"}],
    "operators": [{"name": "amal", "token": "amal-token"}],
    "limits": {"streamSilenceMilliseconds": ${stream_silence:-5000}, "leaveMilliseconds": 300},
    "peers": [${peer_seeds:-}],
    "trace": {"file": "$work/host-$1.trace"}
}
SETTINGS
}

start_platform() { start platform "$build/StandIns/currantbay-stand-in" platform --listen "$platform_address" --machines "$work/machines.json"; }
# start_engine NUMBER [OPTIONS...]
start_engine() {
    local number=$1
    shift
    start "engine-$number" "$build/StandIns/currantbay-stand-in" engine --listen "$(engine_address "$number")" --name "engine-$number" "$@"
}
start_service() { start "service-$1" "$build/StandIns/currantbay-stand-in" service --listen "$(service_address "$1")" --name "seats-$1"; }
start_host() { start "host-$1" "$build/Services/currantbayd/currantbayd" --settings "$work/host-$1.json"; }

# operate HOST ARGUMENTS...: the command line as an operator; ask HOST ARGUMENTS...: as a caller.
operate() {
    local host=$1
    shift
    "$build/Utilities/currantbay/currantbay" --address "$(host_address "$host")" --token amal-token "$@"
}
ask() {
    local host=$1
    shift
    "$build/Utilities/currantbay/currantbay" --address "$(host_address "$host")" --token noor-token "$@"
}

# write_ticket FILE NUMBER CURRENT_VERSION: a ticket with two adapters, a rule and a route.
write_ticket() {
    cat >"$1" <<TICKET
{
    "number": $2,
    "objects": [
        {"kind": "adapter", "name": "outline-sohar", "baseModel": "base", "versions": ["1", "2"], "currentVersion": "$3"},
        {"kind": "adapter", "name": "summary-muscat", "baseModel": "base", "versions": ["1"], "currentVersion": "1"},
        {"kind": "rule", "name": "noor", "customers": ["noor"], "adapters": ["outline-*", "summary-*"]},
        {"kind": "route", "name": "seats", "service": "seats", "idempotentMethods": ["GET"], "fencePath": "/attempts"}
    ]
}
TICKET
}

# start_deployment: two zones with one engine and one service each, and three entry hosts.
start_deployment() {
    local number
    write_machines 2 1
    start_platform
    for number in 1 2; do
        start_engine "$number"
        start_service "$number"
    done
    wait_for "http://$platform_address/v1/hosts"
    write_settings 1 1
    write_settings 2 1
    write_settings 3 2
    for number in 1 2 3; do start_host "$number"; done
    for number in 1 2 3; do wait_for "http://$(host_address "$number")/readyz"; done
    wait_hosts 1 2 3
}

# wait_hosts HOSTS...: waits until each of the hosts sees all of them.
wait_hosts() {
    local host
    for host in "$@"; do
        for _ in $(seq 300); do
            operate "$host" host list --json >"$work/hosts-seen" || true
            [ "$(grep -o '"id":' "$work/hosts-seen" | wc -l)" -ge $# ] && continue 2
            sleep 0.05
        done
        echo "host $host doesn't see the others" >&2
        return 1
    done
}

# wait_sequence SEQUENCE HOSTS...: waits until a ticket sequence is in force at each host.
wait_sequence() {
    local sequence=$1 host
    shift
    for host in "$@"; do
        for _ in $(seq 300); do
            curl -sf -m 2 "http://$(host_address "$host")/metrics" | grep -q "^currantbay_ticket_sequence $sequence$" && continue 2
            sleep 0.05
        done
        echo "sequence $sequence isn't in force at host $host" >&2
        return 1
    done
}
