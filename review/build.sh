#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Only the standard library is used.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/standins/rig.rs
