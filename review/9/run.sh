#!/bin/sh
# Plays the case; with TROUBLE=0 without its disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec node case.mjs
