#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/*/play.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 "$source" \
        -o "target/review-2/case-$number" -lboost_json -lpthread
done
