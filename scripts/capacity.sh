#!/bin/bash
# Measures control nodes at several fleet sizes again, rewrites the tables of docs/CAPACITY.md and
# draws the slopes. Usage: scripts/capacity.sh [build folder] [sizes ...]; all sizes take about three
# minutes of one core.
set -euo pipefail

cd "$(dirname "$0")/.."
build=${1:-build}
sizes=("${@:2}")
if [ ${#sizes[@]} -eq 0 ]; then
    sizes=(7 21 35 70 140 340)
fi

ninja -C "$build" --quiet -j 4 bench_capacity bench_capacity_page
mkdir -p docs/capacity
"$build/bin/bench_capacity" charts "${sizes[@]}" > docs/capacity/fleet.csv.new
mv docs/capacity/fleet.csv.new docs/capacity/fleet.csv
"$build/bin/bench_capacity_page" docs
