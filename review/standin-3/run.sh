#!/usr/bin/env bash
# Runs a case: run.sh CASE FOLDER. Ends the processes of the case also if it is interrupted: they are in a
# process group of their own.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/fulmargw ] && [ -x target/review-3/standin-3 ] || exit 2
set -m
target/review-3/standin-3 "$1" "review/$2/record.txt" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$group"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
