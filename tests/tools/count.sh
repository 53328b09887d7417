#!/bin/sh
# tools/count.awk on a log written by hand.
set -eu
counted=$(printf '%s\n' \
  '0.100 2026-01-01T00:00:00.100 info started' \
  '0.200 2026-01-01T00:00:00.200 debug host h1 is up, ms 4' \
  '0.300 2026-01-01T00:00:00.300 debug host h1 is up, ms 4, from before' \
  '1.000 2026-01-01T00:00:01.000 debug host h2 ended a try, outcome 3, after ms 90' \
  '1.500 2026-01-01T00:00:01.500 debug host h2 ended a connection, outcome 5, after ms 900' \
  '1.600 2026-01-01T00:00:01.600 debug host h2 ended a connection, outcome 0, after ms 900' \
  '2.000 2026-01-01T00:00:02.000 debug rejected, back in ms 300, tries 1' \
  '2.100 2026-01-01T00:00:02.100 info weights frozen, degraded 3 of 4' \
  'no line of a log' | awk -f "$1")
expected='second up failed dropped moved rejected cold bad lists frozen
0 1 0 0 0 0 0 0 0 0
1 0 1 1 0 0 0 0 0 0
2 0 0 0 0 1 0 0 0 1'
[ "$counted" = "$expected" ] || { echo "counted:"; echo "$counted"; exit 1; }
