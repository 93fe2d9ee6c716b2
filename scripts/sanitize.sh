#!/usr/bin/env bash
# Builds and runs tests under sanitizers: scripts/sanitize.sh [--label NAME] [PRESET ...]
# Presets: address, undefined, thread; all three by default.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-4}

label=
presets=()
while [ $# -gt 0 ]; do
    case "$1" in
    --label)
        label=$2
        shift 2
        ;;
    address | undefined | thread)
        presets+=("$1")
        shift
        ;;
    *)
        echo "usage: scripts/sanitize.sh [--label NAME] [address|undefined|thread ...]" >&2
        exit 2
        ;;
    esac
done
[ "${#presets[@]}" -gt 0 ] || presets=(address undefined thread)

status=0
for preset in "${presets[@]}"; do
    cmake --preset "$preset" >/dev/null
    target=all
    [ -z "$label" ] || target=test_${label//-/_}
    cmake --build --preset "$preset" -j "$jobs" --target "$target" -- --quiet
    rm -f "build-$preset"/report.*
    ctest --preset "$preset" ${label:+-L "^$label\$"} || status=1
    # Reports of started programs, and of leaks at the end of a test, do not fail a test.
    for report in "build-$preset"/report.*; do
        [ -e "$report" ] || continue
        cat "$report" >&2
        status=1
    done
done
exit "$status"
