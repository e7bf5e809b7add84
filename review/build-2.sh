#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/main review/standin-2/main.rs
