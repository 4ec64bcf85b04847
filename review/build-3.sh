#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start beside target/. Their stand-ins (review/lib-3) are plain modules
# that need no compilation, so that this only checks that they and the programs of the deploy file are there.
cd "$(dirname "$0")/.." || exit 1
for file in target/pool-entry.mjs target/pool-agent.mjs; do
	[ -s "$file" ] || { echo "$file is missing: run the build of deploy/system.toml first" >&2; exit 1; }
done

for file in review/lib-3/*.mjs review/1[1-5]/*.mjs; do
	node --check "$file" || exit 1
done
