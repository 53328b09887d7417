# Sourced by the run.sh of a case, with CASE set to its folder: starts the built stand-ins with the deploy
# file's `run` command and a temporary folder of their own, and passes on their exit code.
root=$(cd "$CASE/../.." && pwd)
number=$(basename "$CASE")
run=$(sed -n 's/^run = "\(.*\)".*/\1/p' "$root/deploy/balancer.toml" | sed 's/".*//')
program="$root/review/bin/case-$number"
if [ ! -x "$program" ] || [ -z "$run" ] || [ ! -x "$root/build/dapplewharf" ]; then
  echo "cannot run: build as the deploy file says, then review/build.sh" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
mkdir -p "$folder/tmp-n0" "$folder/tmp-n1" "$folder/tmp-n2"
timeout --kill-after=2 115 "$program" "$root" "$run" "$folder" "$CASE/record.txt"
code=$?
# A script that was cut off has not ended its node: its configuration's path is the temporary folder's.
if [ "$code" -ge 124 ]; then
  for pid in $(cat "$folder"/*.pid 2>/dev/null); do kill -KILL "$pid" 2>/dev/null; done
fi
[ "$code" -gt 2 ] && code=2
if [ -n "$KEEP_LOGS" ]; then cp "$folder"/*.log "$KEEP_LOGS"/ 2>/dev/null; fi
rm -rf "$folder"
exit "$code"
