#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/apricotladderd ] && [ -x target/review-2/blind ] || exit 2
timeout -k 5 115 target/review-2/blind "$folder"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
