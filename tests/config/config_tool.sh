#!/usr/bin/env bash
# Three applications on one machine: configurations written by the tool, three sidecars started from them, each with
# hosts of its own; each serves its own application by its own hosts only; a fourth that claims a taken port is refused
# before it is started. Then the node's own flags. Arguments: dapplewharfctl, dapplewharf, dapplewharf_emulator.
set -u
tool=$1 node=$2 fleet=$3 here=$(cd "$(dirname "$0")" && pwd)
dir=$(mktemp -d)
started=()
cleanup() { for id in "${started[@]}"; do kill -9 "$id" 2>/dev/null; done; wait 2>/dev/null; rm -rf "$dir"; }
trap cleanup EXIT
failed=0
fail() { echo "FAILED: $*"; failed=1; }
applications=(host-floor diner-watch kitchen-display)
types=(host-floor diner-watch order)
mkdir "$dir/sidecars"
port() { sed -n 's/^const listen = 127.0.0.1:\([0-9]*\).*/\1/p' "$dir/sidecars/$1.dw"; }

for i in 0 1 2; do
  name=${applications[$i]}
  "$tool" config new "$name" --out "$dir/sidecars/$name.dw" >/dev/null || fail "new $name"
  sed -i "s/^const list = [0-9.:]*/const list = 127.$((245 + i)).1.1:8500/" "$dir/sidecars/$name.dw"
  "$fleet" hosts "$here/hosts.toml" --net $((245 + i)) --for 9 --seed $((i + 1)) --records "$dir/$name.seen" &
  started+=($!)
done
"$tool" config check "$dir/sidecars" >/dev/null || fail "three sound configurations are refused"
sleep 0.5
for i in 0 1 2; do
  "$node" --config "$dir/sidecars/${applications[$i]}.dw" >"$dir/${applications[$i]}.log" 2>&1 &
  nodes[$i]=$!
  started+=($!)
done
sleep 2
for i in 0 1 2; do
  name=${applications[$i]}
  for n in 1 2 3 4 5 6; do
    id=$(printf '%015x%x' $((i + 1)) $n)
    tenant=""
    [ $i -lt 2 ] && tenant=",t=first"
    exec 3<>"/dev/tcp/127.0.0.1/$(port "$name")" || { fail "$name does not listen"; continue; }
    printf 'OPEN %s %s c=%s%s,d=1800\r\n' "$id" "$id" "${types[$i]}" "$tenant" >&3
    read -r -t 3 line <&3 || line=nothing
    [ "${line%$'\r'}" = "UP $id" ] || fail "$name, client $n: $line"
    exec 3>&-
  done
  # Another application's traffic type is none of its own.
  exec 3<>"/dev/tcp/127.0.0.1/$(port "$name")"
  printf 'OPEN %016x %016x c=%s,d=1800\r\n' 99 99 "${types[$(((i + 1) % 3))]}" >&3
  read -r -t 3 line <&3 || line=nothing
  [ "${line%$'\r'}" = ERR ] || fail "$name takes another's traffic type: $line"
  exec 3>&-
done

# A reload: wrong together with nothing else changed is refused, right is taken, the address wants a restart.
file=$dir/sidecars/host-floor.dw
cp "$file" "$dir/kept"
sed -i 's/expiry = 3.2s/expiry = 3/' "$file"; kill -HUP "${nodes[0]}"; sleep 0.4
grep -q "configuration_rejected .*host-floor.dw:[0-9]*:[0-9]*: 'expiry' is 3, which has no unit" "$dir/host-floor.log" || fail "a faulty file at SIGHUP"
sed 's/expiry = 3.2s/expiry = 2.5s/' "$dir/kept" >"$file"; kill -HUP "${nodes[0]}"; sleep 0.4
grep -q "configuration_reloaded discovery=" "$dir/host-floor.log" || fail "a good file at SIGHUP"
sed 's/^const listen = [0-9.:]*/const listen = 127.0.0.1:8999/' "$dir/kept" >"$file"; kill -HUP "${nodes[0]}"; sleep 0.4
grep -q "can be changed by a restart only" "$dir/host-floor.log" || fail "an address changed at SIGHUP"
cp "$dir/kept" "$file"

"$tool" config new host-floor --out "$dir/sidecars/fourth.dw" >/dev/null || fail "new fourth"
[ "$(port fourth)" != "$(port host-floor)" ] || fail "new chose a taken port"
sed -i "s/^const listen = [0-9.:]*/const listen = 127.0.0.1:$(port diner-watch)/" "$dir/sidecars/fourth.dw"
"$tool" config check "$dir/sidecars" >"$dir/out" 2>&1
[ $? = 2 ] || fail "a taken port is let through"
grep -q "fourth.dw:[0-9]*:[0-9]*: the address 127.0.0.1:$(port diner-watch) is claimed at .*diner-watch.dw" "$dir/out" ||
  grep -q "diner-watch.dw:[0-9]*:[0-9]*: the address .* is claimed at .*fourth.dw" "$dir/out" || { fail "no word of the port"; cat "$dir/out"; }
grep -q "the name 'host-floor' is" "$dir/out" || fail "no word of the name"

wait "${started[0]}" "${started[1]}" "${started[2]}"
for i in 0 1 2; do
  name=${applications[$i]}
  all=$(awk '$2 == "t"' "$dir/$name.seen" | wc -l)
  own=$(awk -v i="$(printf '%015x' $((i + 1)))" '$2 == "t" && index($3, i) == 1' "$dir/$name.seen" | wc -l)
  [ "$own" -ge 6 ] && [ "$own" = "$all" ] || fail "$name: $own of $all tries at its hosts are its own"
done

# The node's flags; the sidecars have to be gone, as one more takes an address of theirs.
for i in 0 1 2; do kill -9 "${nodes[$i]}"; done
wait "${nodes[@]}" 2>/dev/null
"$node" --version | grep -q '^dapplewharf [0-9]' || fail "--version"
"$node" --config "$file" --check >/dev/null 2>&1 || fail "--check of a good file"
echo 'sidecar "x" { listen = 8 }' >"$dir/bad.dw"
"$node" --config "$dir/bad.dw" --check >/dev/null 2>"$dir/err"
[ $? = 2 ] && grep -q "bad.dw:1:24: 'listen' is 8; expected an address" "$dir/err" || fail "--check of a faulty file"
"$node" --config "$dir/bad.dw" >/dev/null 2>"$dir/err"
[ $? = 1 ] && [ "$(grep -c . "$dir/err")" = 1 ] || fail "a faulty file at the start"
"$node" --nonsense 2>/dev/null
[ $? = 2 ] || fail "an unknown flag"
printf 'log {\n  format = json\n}\n' >"$dir/operator.dw"
timeout 1 "$node" --config "$file" --operator "$dir/operator.dw" >"$dir/json.log" 2>&1
head -n 1 "$dir/json.log" | grep -q '^{"level":"info","message":"started","package":"node","time":"' || { fail "json log"; head -n 2 "$dir/json.log"; }

# The tool's other commands and exit codes.
"$tool" config fmt "$file" && "$tool" config fmt --check "$file" || fail "fmt"
printf 'log{format=text}' >"$dir/u.dw"; "$tool" config fmt --check "$dir/u.dw" >/dev/null; [ $? = 1 ] || fail "fmt --check"
"$tool" config diff "$file" "$dir/kept" || fail "diff of one meaning"
"$tool" config diff "$dir/sidecars/host-floor.dw" "$dir/sidecars/diner-watch.dw" >/dev/null; [ $? = 1 ] || fail "diff"
"$tool" config diff "$file" "$dir/bad.dw" >/dev/null 2>&1; [ $? = 2 ] || fail "diff of a faulty one"
"$tool" config render "$file" >"$dir/r.json" && "$tool" config import "$dir/r.json" >"$dir/i.dw" && "$tool" config render "$dir/i.dw" | cmp -s - "$dir/r.json" || fail "render, import, render"
"$tool" config explain limits.tries | grep -q "setup tries" || fail explain
"$tool" config explain trys 2>"$dir/err"; [ $? = 2 ] && grep -q "perhaps tries" "$dir/err" || fail "explain of nothing"
for shell in bash zsh fish; do "$tool" config completion $shell | grep -q host-floor || fail "completion $shell"; done
"$tool" config completion bash | bash -n || fail "completion is no bash"
"$tool" config check --json "$dir/bad.dw" | grep -q '"line": 1' || fail "check --json"
"$tool" config check --operator "$dir/operator.dw" >/dev/null || fail "check --operator"
"$tool" config new x --profile nothing >/dev/null 2>&1; [ $? = 2 ] || fail "an unknown profile"
[ $failed = 0 ] && echo "all kept"
exit $failed
