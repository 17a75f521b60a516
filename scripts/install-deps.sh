#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian 12; does nothing if all are installed.
# Must run as root or with passwordless sudo.
set -eu

Packages=(
    g++                     # compiler of the release build
    make                    # runs the commands of the README
    cmake                   # build description
    git                     # lists the tracked files for clang-format and clang-tidy
    clang                   # compiler of the fuzzing and sanitizer builds
    libclang-rt-14-dev      # libFuzzer and the sanitizers' runtimes
    clang-format            # format check
    clang-tidy              # lint check
    libboost-dev            # Outcome (errors), Accumulators and Histogram (metrics), Beast (HTTP of callers)
    libcereal-dev           # serialisation of the messages between instances
    libcurl4-gnutls-dev     # HTTP to targets, to the store and between instances
    libuv1-dev              # event loop
    zlib1g-dev              # compression of data between instances
    libjansson-dev          # JSON
    libfmt-dev              # log lines
    libpopt-dev             # command line
    libsodium-dev           # base64 in the platform's store
    libcppunit-dev          # unit tests
    librapidcheck-dev       # property tests
    libtomlplusplus-dev     # the test that parses deploy/days
)

Missing=()
for Package in "${Packages[@]}"
do
    dpkg -s "$Package" 2>/dev/null | grep -q '^Status: install ok installed' || Missing+=("$Package")
done
if [ "${#Missing[@]}" -eq 0 ]
then
    exit 0
fi

Sudo=""
[ "$(id -u)" -eq 0 ] || Sudo="sudo -n"
export DEBIAN_FRONTEND=noninteractive
$Sudo apt-get update -q >&2
$Sudo apt-get install -y -q --no-install-recommends "${Missing[@]}" >&2
