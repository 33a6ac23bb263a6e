#!/bin/sh
# Builds what the scripts of the second review start, beside the deploy file's build.
set -e
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline
