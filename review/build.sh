#!/bin/sh
# Builds every stand-in that the scripts of this folder start. Needs no network: the package has no dependencies.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml
