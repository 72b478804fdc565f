#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
number=$(basename "$folder")
cd "$folder/../.." || exit 2
program=target/review-2/$number/case.mjs
[ -f target/main.cjs ] && [ -f "$program" ] || { echo 'build first: the deploy file, then review/build-2.sh' >&2; exit 2; }
timeout -k 1 119 node "$program" "$folder/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
