#!/usr/bin/env bash
# Disturbs real processes for a while and checks what callers and servers saw.
# scripts/soak.sh [--seed N] [--seconds N] [--entries N] [--callers N] [--seeds N]
# --seeds N runs N seeds, from --seed on, one after the other, and prints those that failed.
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 seeds=1
while [ $# -gt 0 ]; do
    case "$1" in
        --seed) seed=$2 ;;
        --seeds) seeds=$2 ;;
        --seconds) export SOAK_SECONDS=$2 ;;
        --entries) export SOAK_ENTRIES=$2 ;;
        --callers) export SOAK_CALLERS=$2 ;;
        *)
            echo "unknown option $1; see the first lines of this script" >&2
            exit 2
            ;;
    esac
    shift 2
done
cargo build --quiet --bins
failed=()
for ((n = seed; n < seed + seeds; n++)); do
    SOAK_SEED=$n cargo test --quiet --test soak promises_hold -- --nocapture || failed+=("$n")
done
if [ ${#failed[@]} -gt 0 ]; then
    echo "failed: seeds ${failed[*]}"
    exit 1
fi
echo "all $seeds seeds passed"
