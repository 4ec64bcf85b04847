#!/bin/sh
# Prepares the stand-ins of the cases from 11 on. They are plain JavaScript without dependencies, so nothing is compiled.
cd "$(dirname "$0")" || exit 1
for file in lib-3/*.mjs; do
	node --check "$file" || exit 1
done
