#!/usr/bin/env bash
# Runs all tests: the binary and the stand-ins are built with fail points first.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --quiet --features failpoints --bins --examples
if [ -s KNOWN-RED.txt ]; then
    echo "known red, see KNOWN-RED.txt:"
    cat KNOWN-RED.txt
fi
skip=()
while read -r name; do
    skip+=(--skip "$name")
done < <(sed -n 's/^test: //p' KNOWN-RED.txt)
cargo test --quiet --features failpoints -- "${skip[@]}"
