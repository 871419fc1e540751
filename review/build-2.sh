#!/usr/bin/env bash
# Builds the driver that the scripts of review/6 and later start: operators, clients and servers of a
# small deployment, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -C opt-level=2 -o target/review-2/driver review/stand-in-2/src/main.rs
