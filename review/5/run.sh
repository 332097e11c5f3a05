#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption. Build the deploy file and review/build.sh
# first.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/release/fulmargw ] || [ ! -x target/review/review_case ]; then
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
fi
exec target/review/review_case revoked "$folder"
