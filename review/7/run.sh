#!/bin/sh
# Runs the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 runs it without the disruption. Needs scripts/build.sh and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/fulmargw ] && [ -x target/review-2/standin ] || exit 2
exec target/review-2/standin restart "$folder"
