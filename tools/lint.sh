#!/bin/sh
# Lints src/: clang-tidy with the checks of .clang-tidy over every file, and each header must compile alone.
# A finding is an error unless tools/lint_exceptions.txt lists its file and check. Entries of that list may be removed
# but not added: an exception without a finding is an error too, and comments that silence clang-tidy are errors.
#
#   tools/lint.sh          lints; exit 0 when clean, 1 otherwise
#   tools/lint.sh FILE...  lints these source files and the headers they include; for local use, not for CI
#   tools/lint.sh --list   prints the current findings in the format of tools/lint_exceptions.txt
#
# LINT_JOBS is the number of parallel processes (default: the number of cores).
set -eu
cd "$(dirname "$0")/.."
jobs=${LINT_JOBS:-$(nproc)}
exceptions=tools/lint_exceptions.txt
list=
if [ "${1:-}" = --list ]; then
  list=yes
  shift
fi
default_reason="older than the linter; goes when the file is next rewritten"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# CMake writes compile_commands.json; nothing is built.
cmake -S . -B build-lint -DDAPPLEWHARF_TESTS=ON -DCMAKE_BUILD_TYPE=Debug >"$work/cmake" 2>&1 ||
  { cat "$work/cmake"; exit 1; }

[ $# -gt 0 ] || set -- 'src/*.cpp' 'src/*.h'
git ls-files -co --exclude-standard "$@" | sort -u >"$work/files"

# Prints what clang-tidy finds in each file, the longest file first so that no core idles at the end.
run_clang_tidy() {
  grep '[.]cpp$' "$work/files" | xargs wc -l | awk '$2 != "total" {print $1, $2}' | sort -rn | cut -d' ' -f2 |
    xargs -P "$jobs" -I FILE sh -c 'clang-tidy -p build-lint --quiet --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-error FILE \
      >"$0/$(echo FILE | tr / _).tidy" 2>/dev/null || echo "clang-tidy failed on FILE" >>"$0/failed"' "$work"
  cat "$work"/*.tidy
}

# Headers that do not compile when nothing is included before them.
check_headers() {
  { grep '[.]h$' "$work/files" || true; } | xargs -P "$jobs" -I FILE sh -c '
    echo "#include \"FILE\"" | ${CXX:-c++} -std=c++20 -fsyntax-only -Wall -Wextra -I. -Isrc -x c++ - >"$0/header.$$" 2>&1 ||
      { cat "$0/header.$$"; echo "FILE does not compile alone" >>"$0/failed"; }' "$work"
}

run_clang_tidy >"$work/output"
sed -n "s|^$PWD/\(src/[^:]*\):\([0-9]*:[0-9]*\): [a-z]*: \(.*\) \[\([a-z.,-]*\)\]\$|\1 \4 \2 \3|p" "$work/output" |
  sort -u >"$work/findings"
cut -d' ' -f1,2 "$work/findings" | sort -u >"$work/found"
grep -v '^#' "$exceptions" 2>/dev/null | sort -u >"$work/reasons" || true
cut -d' ' -f1,2 "$work/reasons" | sort -u >"$work/excepted"

if [ "$list" ]; then
  sed -n '/^#/p' "$exceptions" 2>/dev/null || true
  awk -v reason="$default_reason" '
    FILENAME ~ /reasons$/ {key = $1 " " $2; sub(/^[^ ]* [^ ]* /, ""); known[key] = $0; next}
    {print $0, ($0 in known ? known[$0] : reason)}' "$work/reasons" "$work/found"
  [ ! -e "$work/failed" ] || { cat "$work/failed" >&2; exit 1; }
  exit 0
fi

check_headers
status=0
if [ -e "$work/failed" ]; then
  cat "$work/failed"
  grep -h 'error:' "$work/output" || true
  status=1
fi
comm -23 "$work/found" "$work/excepted" >"$work/new"
if [ -s "$work/new" ]; then
  awk 'FILENAME ~ /new$/ {wanted[$1 " " $2] = 1; next}
    ($1 " " $2) in wanted {file = $1; check = $2; place = $3; sub(/^[^ ]* [^ ]* [^ ]* /, "");
      print file ":" place ": " $0 " [" check "]"}' "$work/new" "$work/findings"
  status=1
fi
# A header has findings only if a source file that includes it is linted, so a partial run checks the exceptions of
# source files alone.
if [ "$*" = 'src/*.cpp src/*.h' ]; then
  comm -13 "$work/found" "$work/excepted" >"$work/stale"
else
  grep '[.]cpp$' "$work/files" >"$work/sources" || true
  comm -13 "$work/found" "$work/excepted" | awk 'NR == FNR {given[$1] = 1; next} $1 in given' "$work/sources" - >"$work/stale"
fi
if [ -s "$work/stale" ]; then
  sed 's|^|no longer found, remove it from tools/lint_exceptions.txt: |' "$work/stale"
  status=1
fi
if awk 'NF < 3' "$work/reasons" | grep . || grep 'clang-diagnostic-error' "$work/reasons"; then
  echo "an exception needs a file, a check and a reason, and may not be a compiler error"
  status=1
fi
if git grep -n --untracked NOLINT -- src; then
  echo "exceptions may stand only in $exceptions"
  status=1
fi
exit $status
