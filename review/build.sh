#!/bin/sh
# Builds the stand-ins of the cases into target/review, without dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/trial review/harness/main.rs
