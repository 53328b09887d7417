#!/bin/sh
# Test of tools/count.awk with a short log.
set -eu
counted=$(printf '%s\n' \
  '0.100 2026-01-01T00:00:00.100 info started' \
  '0.200 2026-01-01T00:00:00.200 debug connection_established host=h1 setup_ms=4 adopted=false' \
  '0.300 2026-01-01T00:00:00.300 debug connection_established host=h1 setup_ms=4 adopted=true' \
  '1.000 2026-01-01T00:00:01.000 debug attempt_ended host=h2 outcome=timed_out duration_ms=90' \
  '1.500 2026-01-01T00:00:01.500 debug connection_ended host=h2 outcome=connection_lost duration_ms=900' \
  '1.600 2026-01-01T00:00:01.600 debug connection_ended host=h2 outcome=succeeded duration_ms=900' \
  '2.000 2026-01-01T00:00:02.000 debug request_rejected retry_after_ms=300 attempts=1' \
  '2.100 2026-01-01T00:00:02.100 info weights_frozen degraded=3 endpoints=4 list_silent=false' \
  '2.200 2026-01-01T00:00:02.200 info weights_unfrozen degraded=1 endpoints=4 list_silent=false' \
  '2.300 2026-01-01T00:00:02.300 info slow_start_started endpoint=h3 age_ms=12' \
  '2.400 2026-01-01T00:00:02.400 info health_degraded signal=active endpoint=h3 success_share=0.75 score=0.00' \
  '2.500 2026-01-01T00:00:02.500 info health_recovered signal=active endpoint=h3 success_share=1.00 score=100.00' \
  'no line of a log' | awk -f "$1")
expected='second up failed dropped moved rejected cold bad lists frozen
0 1 0 0 0 0 0 0 0 0
1 0 1 1 0 0 0 0 0 0
2 0 0 0 0 1 1 1 0 1'
[ "$counted" = "$expected" ] || { echo "unexpected counts:"; echo "$counted"; exit 1; }
