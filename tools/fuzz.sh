#!/bin/sh
# Builds the fuzzer of the configuration language with clang and runs it on its corpus.
# Argument: the duration in seconds, 60 by default. Inputs that crash it are written to build-fuzz/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build-fuzz/found
clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all -Isrc tests/config/config_fuzzer.cpp \
  $(ls src/config/*.cpp | grep -v -e tool.cpp -e platform_settings.cpp) -o build-fuzz/config
exec build-fuzz/config -max_total_time="${1:-60}" -max_len=8192 -timeout=5 -seed=1 -print_final_stats=1 \
  -artifact_prefix=build-fuzz/ build-fuzz/found tests/config/corpus tests/config/faulty
