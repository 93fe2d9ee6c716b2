#!/usr/bin/env bash
# Builds the system, runs it on loopback, sends requests through it and stops it again.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}
programs=$folder/bin

say() { printf '\n== %s\n' "$*"; }

say "setting up and building"
scripts/setup.sh
cmake -G Ninja -S . -B "$folder" >/dev/null
ninja -C "$folder" --quiet cardamombayd cardamombayctl platform_standin engine_standin plain_standin

work=$(mktemp -d)
pids=()

# Stops what this script started, by process number, the entry VMs first.
stop_all() {
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; --index)); do
        kill -TERM "${pids[index]}" 2>/dev/null || true
        wait "${pids[index]}" 2>/dev/null || true
    done
}
trap 'stop_all; rm -rf "$work"' EXIT

is_free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# The first of a run of free ports.
find_ports() {
    local base port
    for base in $(seq 21000 50 28000); do
        for port in $(seq "$base" $((base + 15))); do
            is_free "$port" || continue 2
        done
        echo "$base"
        return
    done
    echo "no free ports on loopback" >&2
    return 1
}

# start NAME PROGRAM ARGUMENTS...: runs a program in the background, its output in a file.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>"$work/$name.log" &
    pids+=($!)
}

# wait_for SECONDS COMMAND...: repeats the command until it succeeds.
wait_for() {
    local seconds=$1 turn
    shift
    for turn in $(seq $((seconds * 5))); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.2
    done
    echo "timed out waiting for: $*" >&2
    tail -n 20 "$work"/*.log >&2
    return 1
}

base=$(find_ports)
platform=$base
vm() { # ID ROLE PORT DOMAIN SERVICE
    printf '{"id":"%s","role":"%s","status":"live","ip":"127.0.0.1","port":%s,"zone":"zone-a","domain":"%s","service":"%s"}' "$@"
}

say "starting the platform stand-in, 4 engine VMs, 1 plain endpoint and 3 entry VMs"
{
    printf '{"vms":['
    for i in 1 2 3 4; do printf '%s,' "$(vm "engine-$i" engine $((base + i)) fabric-1 "")"; done
    printf '%s,' "$(vm library-1 plain $((base + 5)) "" library)"
    for i in 1 2; do printf '%s,' "$(vm "entry-$i" entry $((base + 9 + i)) "" "")"; done
    printf '%s]}' "$(vm entry-3 entry $((base + 12)) "" "")"
} >"$work/vms.json"
start platform "$programs/platform_standin" --port "$platform" --vms "$work/vms.json" \
    --vm-list-lag-ms 500 --weight-time-ms 200
for i in 1 2 3 4; do
    start "engine-$i" "$programs/engine_standin" --vm "engine-$i" --port $((base + i)) \
        --weights "127.0.0.1:$platform" --tokens-per-second 50
done
start library-1 "$programs/plain_standin" --vm library-1 --port $((base + 5))

for i in 1 2 3; do
    cat >"$work/entry-$i.toml" <<SETTINGS
entry = "entry-$i"
zone = "zone-a"
region = "demo"
charts = "$PWD/charts"

[listen]
callers = "127.0.0.1:$((base + 5 + i))"
peers = "127.0.0.1:$((base + 9 + i))"

[platform]
addresses = ["127.0.0.1:$platform"]

[log]
trace_file = "$work/spans-$i.jsonl"

[drain]
announce = "500ms"
SETTINGS
    start "entry-$i" "$programs/cardamombayd" --settings "$work/entry-$i.toml"
done
ctl() { "$programs/cardamombayctl" --store "127.0.0.1:$platform" --entry "127.0.0.1:$((base + 10))" "$@"; }

say "applying the example configuration"
wait_for 20 curl -sSf "http://127.0.0.1:$platform/v1/vms"
ctl config apply examples/demo/base.toml examples/demo/zone-a.toml
wait_for 20 ctl status
ctl config status --timeout 20s

say "waiting until both replicas serve"
serving() { ctl groups --json | grep -o '"usable":true' | wc -l | grep -qx 2; }
wait_for 60 serving
ctl status
ctl groups

caller=127.0.0.1:$((base + 6))
say "a streamed completion"
curl -sS -N -D "$work/head" "http://$caller/v1/completions" -H 'X-Team: studio' \
    -H 'traceparent: 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01' \
    -d '{"model":"writer","prompt":"Breathe in, and","max_tokens":8,"stream":true}' \
    | tee "$work/stream"
grep -qx 'data: \[DONE\]' <(tr -d '\r' <"$work/stream") || {
    echo "the stream is not whole" >&2
    exit 1
}
grep -i -E '^(HTTP|x-outcome|x-request-id)' "$work/head"

say "why it went where it did"
request=$(sed -n 's/^[Xx]-[Rr]equest-[Ii]d: *//p' "$work/head" | tr -d '\r')
explained() { ctl explain request "$request" | grep -q request-finished; }
wait_for 5 explained
ctl explain request "$request"

say "a call to the plain service that may run only once, sent twice with one key"
for i in 1 2; do
    curl -sS "http://127.0.0.1:$((base + 5 + i))/library/entries" -H 'X-Team: guests' \
        -H 'Idempotency-Key: demo-1' -d '{"title":"Dawn"}' -w '\n[%{http_code}]\n'
done

say "the trace of the completion, hop by hop"
sleep 0.5
grep -h 0af7651916cd43dd8448eb211c80319c "$work"/spans-*.jsonl

say "stopping everything gracefully"
stop_all
pids=()
grep -h event=daemon-stopped "$work"/entry-*.log
say "done"
