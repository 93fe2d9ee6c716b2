#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into out/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p out/review
for source in review/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins "$source" -o "out/review/case-$name" \
        -lboost_json -lpthread
done
