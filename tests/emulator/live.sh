#!/bin/sh
# Tests of the live driver: the node violates no rule, the auditor finds each fault of the faulty node, errors of the
# rig itself are reported in one line, and no process is left behind. Arguments: paths of dapplewharf_emulator, the
# node and the faulty node.
set -u
emulator=$1 node=$2 faulty_node=$3 here=$(dirname "$0")
scenario=$here/short.toml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
fail() { echo "FAILED: $*"; sed 's/^/    /' "$dir/out" "$dir/err"; failed=1; }
live() { "$emulator" live "$scenario" "$@" >"$dir/out" 2>"$dir/err"; }

live --seed 2 --node "$node" --out "$dir/good" || fail "the node, exit $?"
for name in scenario seed driver plan_hash asked honoured rejected scrapped unanswered service final_answer effect_twice \
  drain_kept cold_pushed bytes_changed cut_off setup_ms message_ms p999 cpu_us_per_setup cpu_us_per_line idle_cpu_share \
  rss_kib_max descriptors_max; do
  grep -q "\"$name\"" "$dir/good/report.json" || fail "report.json has no $name"
done

# Without a fault the faulty node violates no rule, so the violations found below are due to the fault.
BAD_RELAY=none live --seed 2 --node "$faulty_node" || fail "the faulty node without a fault, exit $?"
for pair in drops-answer:final_answer answers-twice:final_answer changes-byte:bytes_changed sends-after-drain:drain_kept \
  cuts-off:cut_off; do
  BAD_RELAY=${pair%:*} live --seed 2 --node "$faulty_node"
  code=$?
  [ $code = 3 ] && grep -q "broken: ${pair#*:}" "$dir/out" || fail "$pair, exit $code"
done

one_line() { # checks that standard error is one line; arguments: its expected text, the expected and the actual exit code
  [ "$2" = "$3" ] && [ "$(grep -c . "$dir/err")" = 1 ] && grep -q "$1" "$dir/err" || fail "expected exit $2 and '$1', got exit $3"
}
live --node /nowhere/at/all; one_line "is no program" 2 $?
live --node /bin/true; one_line "ended by itself" 1 $?
BAD_RELAY=dies live --node "$faulty_node"; one_line "node . ended by itself, exit code 9" 1 $?
live --node "$node" --out /proc/here; one_line "cannot be made" 2 $?
"$emulator" live "$here/none.toml" >"$dir/out" 2>"$dir/err"; one_line "cannot be read" 2 $?
(ulimit -n 100; live --node "$node"); one_line "descriptors" 1 $?
"$emulator" sim "$scenario" --policy nobody >"$dir/out" 2>"$dir/err"; one_line "unknown policy" 2 $?
"$emulator" sim "$scenario" --out /dev/null/x >"$dir/out" 2>"$dir/err"; one_line "cannot be made" 2 $?
[ -e /dev/full ] && { mkdir -p "$dir/full"; ln -s /dev/full "$dir/full/report.json"
  "$emulator" sim "$scenario" --out "$dir/full" >"$dir/out" 2>"$dir/err"; one_line "cannot be written" 2 $?; }

# A port that another process listens at.
"$emulator" hosts "$scenario" --net 244 --for 2 --records "$dir/first" & first_hosts=$!
sleep 0.5
"$emulator" hosts "$scenario" --net 244 --for 1 --records "$dir/second" >"$dir/out" 2>"$dir/err"; one_line "cannot listen at" 1 $?
wait $first_hosts || fail "the first process on the address"

# If a process of the rig was stopped for a second, its records are unreliable and the run is void.
"$emulator" live "$scenario" --node "$node" --out "$dir/stopped" >"$dir/out" 2>"$dir/err" &
rig=$!
sleep 2
rig_process=$(ps -o pid= --ppid $rig | head -n 1 | tr -d ' ')
kill -STOP "$rig_process"; sleep 1; kill -CONT "$rig_process"
wait $rig
code=$?
[ $code = 1 ] && grep -q "VOID" "$dir/out" || fail "a stopped rig, exit $code"

# An interrupted run leaves no process behind.
"$emulator" live "$scenario" --node "$node" --out "$dir/interrupted" >"$dir/out" 2>"$dir/err" &
rig=$!
sleep 2
children=$(ps -o pid= --ppid $rig | tr '\n' ' ')
kill -TERM $rig
wait $rig
code=$?
for id in $children; do kill -0 "$id" 2>/dev/null && fail "process $id was left behind"; done
[ $code = 1 ] && grep -q interrupted "$dir/err" || fail "an interruption, exit $code"
[ $failed = 0 ] && echo "all passed"
exit $failed
