#!/usr/bin/env bash
# Plays the policies against each other and plots the result: out/policies.md, out/policies.dat, out/policies-USER.svg.
# ROUNDS and SECONDS_EACH set the length; the defaults take about an hour.
set -eu
cd "$(dirname "$0")/.."
mkdir -p out
build/winchbench policies --rounds "${ROUNDS:-3}" --seconds "${SECONDS_EACH:-5}" ${BENCH_USER:+--user "$BENCH_USER"} --data out/policies.dat |
    tee out/policies.md
scripts/plot.sh out/policies.dat
