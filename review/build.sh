#!/bin/sh
# Builds the stand-ins of all cases, with g++ alone, into review/bin/.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -pthread -Istandins "$source" -o "bin/case-$number"
done
