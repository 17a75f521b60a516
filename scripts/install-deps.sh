#!/usr/bin/env bash
# Installs what the build and the tests need on Debian 12, package by package, each with its reason.
# Does nothing when all of it is there. Must run as root, or where sudo works without a password.
set -eu

Packages=(
    g++                     # compiler of the release build
    make                    # the commands of the README
    cmake                   # build description
    git                     # clang-format and clang-tidy are run on the tracked files
    clang                   # compiler of the fuzzing and sanitizer builds
    libclang-rt-14-dev      # libFuzzer and the sanitizers' runtimes
    clang-format            # format check
    clang-tidy              # lint check
    libboost-dev            # Outcome (errors), Accumulators and Histogram (metrics), Beast (HTTP of callers; docs/DESIGN.md says why)
    libcereal-dev           # codec of the messages between instances
    libcurl4-gnutls-dev     # HTTP to targets, to the store and between instances
    libuv1-dev              # event loop
    zlib1g-dev              # compression of what instances hand on
    libjansson-dev          # JSON; it can refuse duplicate keys
    libfmt-dev              # log lines
    libpopt-dev             # command line
    libsodium-dev           # base64 of the users' store
    libcppunit-dev          # unit tests
    librapidcheck-dev       # property tests
    libtomlplusplus-dev     # the test that reads deploy/days
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
