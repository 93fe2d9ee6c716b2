#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program=out/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/bin/cardamombay-gateway ] || exit 2
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
"$program" "$here/record.txt" "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
