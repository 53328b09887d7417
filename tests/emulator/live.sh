#!/bin/sh
# The rig on sockets: the node keeps every rule; each fault of a bad relay is found; what goes wrong with the rig itself
# is told in one line, and nothing is left behind. Arguments: dapplewharf_emulator, the node, the bad relay.
set -u
fleet=$1 node=$2 relay=$3 here=$(dirname "$0")
scenario=$here/short.toml
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
failed=0
fail() { echo "FAILED: $*"; sed 's/^/    /' "$dir/out" "$dir/err"; failed=1; }
live() { "$fleet" live "$scenario" "$@" >"$dir/out" 2>"$dir/err"; }
children() { ps -e -o pid= -o ppid= -o args= | grep -E "dapplewharf|bad_relay" | grep -c -- "$dir" ; }

live --seed 2 --node "$node" --out "$dir/good" || fail "a sound node, exit $?"
for name in scenario seed driver plan_hash asked honoured rejected scrapped unanswered service final_answer effect_twice \
  drain_kept cold_pushed bytes_changed cut_off setup_ms message_ms p999 cpu_us_per_setup cpu_us_per_line idle_cpu_share \
  rss_kib_max descriptors_max; do
  grep -q "\"$name\"" "$dir/good/report.json" || fail "report.json has no $name"
done

# The relay without a fault keeps the rules: then what is found below is the fault's.
BAD_RELAY=none live --seed 2 --node "$relay" || fail "a relay without a fault, exit $?"
for pair in drops-answer:final_answer answers-twice:final_answer changes-byte:bytes_changed sends-after-drain:drain_kept \
  cuts-off:cut_off; do
  BAD_RELAY=${pair%:*} live --seed 2 --node "$relay"
  code=$?
  [ $code = 3 ] && grep -q "broken: ${pair#*:}" "$dir/out" || fail "$pair, exit $code"
done

one_line() { # what is expected in it, the exit code wanted, the one that came
  [ "$2" = "$3" ] && [ "$(grep -c . "$dir/err")" = 1 ] && grep -q "$1" "$dir/err" || fail "wanted $2 and '$1', exit $3"
}
live --node /nowhere/at/all; one_line "is no program" 2 $?
live --node /bin/true; one_line "ended by itself" 1 $?
BAD_RELAY=dies live --node "$relay"; one_line "node . ended by itself, exit code 9" 1 $?
live --node "$node" --out /proc/here; one_line "cannot be made" 2 $?
"$fleet" live "$here/none.toml" >"$dir/out" 2>"$dir/err"; one_line "cannot be read" 2 $?
(ulimit -n 100; live --node "$node"); one_line "descriptors" 1 $?
"$fleet" sim "$scenario" --policy nobody >"$dir/out" 2>"$dir/err"; one_line "unknown policy" 2 $?
"$fleet" sim "$scenario" --out /dev/null/x >"$dir/out" 2>"$dir/err"; one_line "cannot be made" 2 $?
[ -e /dev/full ] && { mkdir -p "$dir/full"; ln -s /dev/full "$dir/full/report.json"
  "$fleet" sim "$scenario" --out "$dir/full" >"$dir/out" 2>"$dir/err"; one_line "cannot be written" 2 $?; }

# A port in use.
"$fleet" hosts "$scenario" --net 244 --for 2 --records "$dir/first" & first=$!
sleep 0.5
"$fleet" hosts "$scenario" --net 244 --for 1 --records "$dir/second" >"$dir/out" 2>"$dir/err"; one_line "cannot listen at" 1 $?
wait $first || fail "the first of two hosts on one address"

# A rig that was stopped for a second has seen nothing it can vouch for.
"$fleet" live "$scenario" --node "$node" --out "$dir/stopped" >"$dir/out" 2>"$dir/err" &
rig=$!
sleep 2
part=$(ps -o pid= --ppid $rig | head -n 1 | tr -d ' ')
kill -STOP "$part"; sleep 1; kill -CONT "$part"
wait $rig
code=$?
[ $code = 1 ] && grep -q "VOID" "$dir/out" || fail "a stopped rig, exit $code"

# An interruption leaves nothing behind.
"$fleet" live "$scenario" --node "$node" --out "$dir/interrupted" >"$dir/out" 2>"$dir/err" &
rig=$!
sleep 2
left=$(ps -o pid= --ppid $rig | tr '\n' ' ')
kill -TERM $rig
wait $rig
code=$?
for id in $left; do kill -0 "$id" 2>/dev/null && fail "process $id was left behind"; done
[ $code = 1 ] && grep -q interrupted "$dir/err" || fail "an interruption, exit $code"
[ $failed = 0 ] && echo "all kept"
exit $failed
