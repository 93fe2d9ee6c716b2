#!/usr/bin/env bash
# Sets up, builds and runs all tests, or those of one label: scripts/test.sh [--label NAME]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}

arguments=(--output-on-failure --no-tests=error -j 6)
while [ $# -gt 0 ]; do
    case "$1" in
    --label)
        arguments+=(-L "^$2\$")
        shift 2
        ;;
    *)
        echo "usage: scripts/test.sh [--label NAME]" >&2
        exit 2
        ;;
    esac
done

scripts/setup.sh
scripts/build.sh
ctest --test-dir "$folder" "${arguments[@]}"
