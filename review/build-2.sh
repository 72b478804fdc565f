#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the second review's cases into target/review-2. Needs node_modules only.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install esbuild review/[4-8]/case.ts --bundle --platform=node --format=esm --target=node20 \
  --outdir=target/review-2 --outbase=review --out-extension:.js=.mjs --log-level=warning
