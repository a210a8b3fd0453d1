#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/stand/Cargo.toml --target-dir target/review
