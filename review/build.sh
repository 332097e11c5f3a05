#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -D warnings -o target/review/review_case review/standin/main.rs
