#!/bin/sh
# Builds everything with warnings as errors, under ASan and UBSan, and runs the tests.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B build-tests -DDAPPLEWHARF_TESTS=ON -DDAPPLEWHARF_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug
cmake --build build-tests -j8
ctest --test-dir build-tests --output-on-failure
