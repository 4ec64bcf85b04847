#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside target/. Their stand-ins (review/lib-2) are plain modules
# that need no compilation, so that this only checks that they and the programs of the deploy file are there.
cd "$(dirname "$0")/.." || exit 1
for file in target/pool-entry.mjs target/pool-agent.mjs; do
	[ -s "$file" ] || { echo "$file is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done

for file in review/lib-2/*.mjs review/[6-9]/*.mjs review/10/*.mjs; do
	[ ! -e "$file" ] || node --check "$file" || exit 1
done
