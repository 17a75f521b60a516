#!/usr/bin/env bash
# Measures the slopes of docs/CAPACITY.md; the report goes to out/capacity.md and the terminal. Some six minutes.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
build/winchbench capacity --instances "${INSTANCES:-128}" | tee out/capacity.md
