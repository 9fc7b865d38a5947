#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Needs no network where the
# project's own build has run.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
