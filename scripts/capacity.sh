#!/bin/bash
# Measures control nodes at several fleet sizes again, rewrites the tables of docs/capacity/cardamombayd.md and
# draws the slopes. Usage: scripts/capacity.sh [build folder] [sizes ...]; the default sizes took about two
# minutes of one core; 140 and 340 did not end within 200 and 240 s.
set -euo pipefail

cd "$(dirname "$0")/.."
build=${1:-build}
sizes=("${@:2}")
if [ ${#sizes[@]} -eq 0 ]; then
    sizes=(7 21 35 49 70)
fi

ninja -C "$build" --quiet -j 4 bench_capacity bench_capacity_page
mkdir -p docs/capacity
"$build/bin/bench_capacity" charts "${sizes[@]}" > docs/capacity/fleet.csv.new
mv docs/capacity/fleet.csv.new docs/capacity/fleet.csv
"$build/bin/bench_capacity_page" docs
