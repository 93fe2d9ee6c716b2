#!/usr/bin/env bash
# Fuzzes what untrusted text reaches.
#   scripts/fuzz.sh [SECONDS] [SEED]               seeded driver, all targets, as in CI but longer
#   scripts/fuzz.sh --libfuzzer TARGET [SECONDS]   coverage-guided, with clang and libFuzzer
# The text that shows a fault is saved in the present folder.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${JOBS:-4}

if [ "${1:-}" != --libfuzzer ]; then
    folder=${BUILD_FOLDER:-build}
    cmake -G Ninja -S . -B "$folder" >/dev/null
    ninja -C "$folder" --quiet -j "$jobs" test_fuzz
    export CARDAMOMBAY_FUZZ_SECONDS=${1:-60}
    export CARDAMOMBAY_FUZZ_SEED=${2:-$RANDOM$RANDOM}
    exec "$folder/bin/test_fuzz" --jobs "$jobs"
fi

target=${2:?target, a folder of tests/data/fuzz}
seconds=${3:-60}
folder=build-libfuzzer
flags="-fsanitize=fuzzer-no-link,address -O1 -g1"
cmake -G Ninja -S . -B "$folder" -DCMAKE_CXX_COMPILER=clang++ -DBUILD_TESTING=OFF \
    -DCMAKE_CXX_FLAGS="$flags -Wno-error" >/dev/null
ninja -C "$folder" --quiet -j "$jobs" cardamombay cardamombay_platform
clang++ -std=c++20 -fsanitize=fuzzer,address -O1 -g1 -I. -Iinclude -Itests \
    -DFUZZ_TARGET="\"$target\"" tests/fuzz/libfuzzer/driver.cpp tests/fuzz/fuzz_targets.cpp \
    "$folder/libcardamombay_platform.a" "$folder/libcardamombay.a" \
    -lboost_json -ljsonrpccpp-server -ljsonrpccpp-common -ljsoncpp -lprometheus-cpp-core \
    -lopentracing -ltomlplusplus -lpopt -lxxhash -llog4cxx -lssl -lcrypto \
    -o "$folder/fuzz_$target"
found=$folder/corpus_$target
mkdir -p "$found"
"$folder/fuzz_$target" -max_total_time="$seconds" -timeout=10 -max_len=16384 \
    "$found" "tests/data/fuzz/$target"
