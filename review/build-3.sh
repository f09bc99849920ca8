#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 11 to 15, with the compiler alone and without any library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
