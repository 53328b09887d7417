#!/bin/sh
# Fails if docs/architecture.md names, in backticks, a path under src/ or a Class::function that does not exist in
# src/. A Class::function exists if one file of src/ defines that class or struct and contains the function's name
# followed by an opening parenthesis.
set -u
cd "$(dirname "$0")/.." || exit 1
page=docs/architecture.md

has_function() {
  class=$1 function=$2
  for file in $(grep -rlE "^ *(class|struct) ([A-Za-z_0-9]+::)*$class( final)?( *:[^:].*)? *\{" src); do
    grep -qE "(^|[^A-Za-z_0-9])$function *\(" "$file" && return 0
  done
  return 1
}

names=$(grep -o '`[^`]*`' "$page" | tr -d '`' | sort -u |
  grep -E '^(src(/.*)?|([A-Za-z_][A-Za-z_0-9]*::)+~?[A-Za-z_][A-Za-z_0-9]*(\(\))?)$')
[ -n "$names" ] || { echo "$page: contains no name to check"; exit 1; }

failed=0
while IFS= read -r name; do
  case $name in
    src | src/*) [ -e "$name" ] ;;
    *)
      name_only=${name%"()"}
      owner=${name_only%::*}
      has_function "${owner##*::}" "${name_only##*::}"
      ;;
  esac || { echo "$page: $name is not in src/"; failed=1; }
done <<LIST
$names
LIST
exit "$failed"
