#!/usr/bin/env bash
# Builds the stand-ins of the second review. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/standins-2 review/standins-2/main.rs
