#!/usr/bin/env bash
# Builds the programs in release mode and runs one experiment with them, for example:
#   scripts/experiment.sh failover --deployment kalogeropoulos --seed 1
# The last line of the output is a JSON object with all results.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --locked --release -p fulmargw -p fulmargw_lab --bins
target=$(cargo metadata --format-version 1 --no-deps --offline |
    sed 's/.*"target_directory":"\([^"]*\)".*/\1/')
commit=$(git rev-parse --short HEAD)
git diff --quiet HEAD || commit+=-modified
exec "$target/release/fulmargw_lab" experiment "$@" --commit "$commit"
