#!/usr/bin/env bash
# Checks format and lint of every tracked source file. scripts/check.sh [--format-only]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}

git ls-files -z '*.cpp' '*.hpp' | xargs -0 clang-format --dry-run -Werror
echo "check: format is clean"
[ "${1:-}" = --format-only ] && exit 0

cmake -G Ninja -S . -B "$folder" >/dev/null
# Tests and benches are checked for format only: Criterion's macros do not pass the linter.
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! git ls-files 'src/*.cpp' 'apps/*.cpp' \
        | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$folder" >"$log" 2>&1; then
    grep -E 'error|warning:|note:' "$log" | sort -u >&2
    exit 1
fi
echo "check: lint is clean"
