#!/usr/bin/env bash
# Checks format and lint of every tracked source file. scripts/check.sh [--format-only]
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${BUILD_FOLDER:-build}

git ls-files -z '*.cpp' '*.hpp' | xargs -0 clang-format --dry-run -Werror
echo "check: format is clean"
# Names of the users' wire stand in the adapter, its deployment and its tests only.
names='X-Response-Seal|X-Not-Executed|X-Prompt-Prefix|X-Token-Counts|X-Expect-|X-Tenant|X-Length-Hint|X-Request-Priority|X-Weight-Versions|Server-Limit|Server-Leaving|rows-(tx|get|feed)|blob-(put|get|list|drop)|/-/(order|report|readiness)|CARDAMOMBAY_NODE_FILE|MaxAttempts|GapTargetMs|ApiKeys|ColdPerS|ColdStartS|ColdLeftMs|AllowedRegions'
if git grep -nIE "$names" -- src include apps bench examples charts; then
    echo "check: names of the users' platform stand outside platform/" >&2
    exit 1
fi
echo "check: platform/ has $(git ls-files platform | xargs cat | wc -l) lines; no name of it elsewhere"
# These stand still while the VM is suspended; src/net/timeouts.hpp says what may use them.
if git grep -nE 'steady_clock::now|steady_timer|expires_(after|at)\(' -- src platform apps \
        ':!src/net/timeouts.hpp' ':!src/load'; then
    echo "check: a clock that stands still in a suspended VM is read outside src/net/timeouts.hpp" >&2
    exit 1
fi
[ "${1:-}" = --format-only ] && exit 0

cmake -G Ninja -S . -B "$folder" >/dev/null
# Tests and benches are checked for format only: Criterion's macros do not pass the linter.
log=$(mktemp)
trap 'rm -f "$log"' EXIT
if ! git ls-files 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' \
        | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "$folder" >"$log" 2>&1; then
    grep -E 'error|warning:|note:' "$log" | sort -u >&2
    exit 1
fi
echo "check: lint is clean"
