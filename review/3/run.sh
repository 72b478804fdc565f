#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.."
[ -f target/review/3.mjs ] && [ -f target/main.cjs ] || { echo "build first: deploy/service.toml, review/build.sh" >&2; exit 2; }
exec node target/review/3.mjs review/3/record.txt
