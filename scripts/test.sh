#!/usr/bin/env bash
# Sets up, builds and runs all tests, or those of one label: scripts/test.sh [--label NAME]
# Labels in KNOWN-RED.txt are left out and printed; scripts/test.sh --red runs just these.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}

red=""
if [ -f KNOWN-RED.txt ]; then
    red=$(sed -n 's/^\([a-z-]*\) .*/\1/p' KNOWN-RED.txt | sort -u | paste -sd'|')
fi
labels=()
arguments=(--output-on-failure --no-tests=error -j 6)
while [ $# -gt 0 ]; do
    case "$1" in
    --label)
        labels=(-L "^$2\$")
        shift 2
        ;;
    --red)
        [ -n "$red" ] || { echo "KNOWN-RED.txt names no test"; exit 0; }
        labels=(-L "^($red)\$")
        shift
        ;;
    *)
        echo "usage: scripts/test.sh [--label NAME | --red]" >&2
        exit 2
        ;;
    esac
done

scripts/setup.sh
scripts/build.sh
if [ -n "$red" ] && [ "${#labels[@]}" -eq 0 ]; then
    labels=(-LE "^($red)\$")
    echo "Known red, not run:"
    cat KNOWN-RED.txt
fi
ctest --test-dir "$folder" "${arguments[@]}" "${labels[@]}"
