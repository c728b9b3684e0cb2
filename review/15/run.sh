#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Build deploy/system.toml and review/build-3.sh first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/skylarkchute ] && [ -x build-review-3/SessionCase ] || exit 2
exec timeout -k 5 115 build-review-3/SessionCase review/15
