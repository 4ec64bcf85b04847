#!/bin/sh
# Checks the stand-ins and cases. They are plain JavaScript without dependencies, so that nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/*.mjs; do
	node --check "$file"
done
