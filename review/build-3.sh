#!/usr/bin/env bash
# Builds the program that the scripts of cases 11 to 15 start: clients, servers and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/script review/stand-in-3/main.rs
