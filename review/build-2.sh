#!/bin/sh
# Builds the stand-ins of the second review's cases into build/review-2/, beside the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for n in 6 7 8 9 10; do
  [ -f "review/$n/case.cpp" ] || continue
  ${CXX:-g++} -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/rig-2 "review/$n/case.cpp" -o "build/review-2/case-$n"
done
