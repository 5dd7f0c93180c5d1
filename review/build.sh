#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. Uses the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for stage in replay endless restart; do
  rustc --edition 2024 -O -o "bin/$stage" "standins/$stage.rs"
done
