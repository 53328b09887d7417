# Sourced by the run.sh of a case, in the folder of the case: starts its program (built by review/build-2.sh) with the
# run command of the deploy file and a temporary folder, and ends it with the script.
set -u
here=$(pwd)
root=$(cd ../.. && pwd)
program=$root/build/review-2/case-$(basename "$here")
[ -x "$program" ] && [ -x "$root/build/dapplewharf" ] || {
  echo "could not run: wants the build of the deploy file and review/build-2.sh"
  exit 2
}
run=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")
tmp=$(mktemp -d) || exit 2
"$program" "$root" "$here" "$tmp" "$run" &
pid=$!
trap 'kill -9 $pid 2>/dev/null; rm -rf "$tmp"; exit 2' INT TERM HUP
wait $pid
code=$?
rm -rf "$tmp"
[ $code = 0 ] || [ $code = 1 ] || code=2
exit $code
