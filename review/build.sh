#!/bin/sh
# Bundles the tests and stand-ins of the review into target/review/.
set -eu
cd "$(dirname "$0")/.."
for case in review/[1-9]; do
  [ -f "$case/test.es6" ] || continue
  node_modules/.bin/esbuild "$case/test.es6" --loader:.es6=js --bundle --platform=node --format=esm --target=node20 \
    --log-level=warning --outfile="target/review/${case##*/}.mjs"
done
