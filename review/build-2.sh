#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10. They have no dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/standin-2/main.rs -o target/review-2/drill
