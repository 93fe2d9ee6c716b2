#!/bin/sh
# Runs the fault matrix and rewrites docs/FAULTS.md: scripts/faults.sh [BUILD_FOLDER]
set -eu
build=${1:-build}
parts=$(mktemp -d)
trap 'rm -rf "$parts"' EXIT
result=0
CARDAMOMBAY_FAULTS_FOLDER="$parts" "$build/bin/test_faults" --color=never || result=$?
cat "$parts"/* > docs/FAULTS.md
exit "$result"
