#!/bin/sh
# Explores more seeds than the tests do: scripts/explore.sh COUNT [FIRST] [STEPS] [BUILD_FOLDER]
set -eu
count=${1:?usage: scripts/explore.sh COUNT [FIRST] [STEPS] [BUILD_FOLDER]}
first=${2:-1000}
steps=${3:-250}
build=${4:-build}
CARDAMOMBAY_SEEDS="$first $count $steps" "$build/bin/test_recovery" --color=never \
    --filter 'exploration/*'
