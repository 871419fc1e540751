#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
for program in target/release/bitternlead target/review-3/script; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; build it first" >&2
        exit 2
    fi
done
export TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 target/review-3/script 14 review/14/record.txt "$folder"
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
