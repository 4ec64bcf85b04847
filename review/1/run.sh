#!/bin/sh
# TROUBLE=0 runs the case without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." && exec node review/1/case.mjs
