#!/usr/bin/env bash
# Measures the figures of docs/CAPACITY.md; writes the report to out/capacity.md and to stdout.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
build/winchbench capacity --instances "${INSTANCES:-128}" | tee out/capacity.md
