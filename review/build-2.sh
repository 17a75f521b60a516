#!/bin/sh
# Builds the stand-ins of review/4 and up into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/*.cc; do
    case "$source" in
    */driver.cc) ;; # Of an earlier review.
    *) g++ -std=c++17 -O2 -Wall -Wextra -pthread -I review/lib-2 -o "target/review-2/$(basename "$source" .cc)" "$source" ;;
    esac
done
