#!/usr/bin/env bash
# Configures and builds into build/ (or the folder named by BUILD_FOLDER).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}

cmake -G Ninja -S . -B "$folder" "$@" >/dev/null
ninja -C "$folder" --quiet
