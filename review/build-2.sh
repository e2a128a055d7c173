#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. It needs the compiler alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
