#!/usr/bin/env bash
# Builds the stand-ins of the scripts, after the build of the deploy file. Run at the root of the repository.
set -e
cd "$(dirname "$0")/.."
cmake --build target -j8 --target winchbench_parts
mkdir -p target/review
flags="-std=c++17 -O1 -Ireview/lib -I. -Ibench -Idaemon -Iexchange -Igateway -Iplatform -Irequests $(pkg-config --cflags libsodium jansson libcurl popt fmt libuv zlib)"
libs="target/bench/libwinchbench_parts.a target/libwinchlink_instance.a target/libwinchlink.a $(pkg-config --libs libsodium jansson libcurl popt fmt libuv zlib)"
for source in review/*/driver.cc; do
  number=$(basename "$(dirname "$source")")
  g++ $flags "$source" -o "target/review/driver-$number" $libs
done
