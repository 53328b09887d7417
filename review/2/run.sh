#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. See claim.txt.
# TROUBLE=0: no node is killed, discovery is not crowded. TROUBLE=restart, TROUBLE=crowd: one of the two alone.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../standins/run_case.sh"
