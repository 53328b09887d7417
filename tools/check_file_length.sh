#!/bin/sh
# Fails if a source file has more than 600 lines, unless tools/long_files.txt lists it with a higher limit. Entries of
# that list may be removed but not added.
set -eu
cd "$(dirname "$0")/.."
failed=0
for file in $(git ls-files 'src/*.cpp' 'src/*.h'); do
  [ -f "$file" ] || continue
  lines=$(wc -l <"$file")
  allowed=$(awk -v file="$file" '$1 == file {print $2}' tools/long_files.txt)
  [ "$lines" -le "${allowed:-600}" ] || { echo "$file: $lines lines, at most ${allowed:-600} are allowed"; failed=1; }
done
exit $failed
