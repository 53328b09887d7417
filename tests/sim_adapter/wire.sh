#!/bin/sh
# The adapter answers an empty batch; on bad input it exits with a message on standard error and no reply.
set -u
adapter=$1
reply=$(printf '{"simTimeMs":1.5,"parts":[]}\n' | "$adapter") || exit 1
[ "$reply" = '{"parts":[]}' ] || { echo "unexpected reply to an empty batch: $reply"; exit 1; }
errors=/tmp/sim_adapter_wire.$$
for bad in 'no json' '{"simTimeMs":1,"parts":[{"inbox":[]}]}' '{"parts":[]}'; do
  if reply=$(printf '%s\n' "$bad" | "$adapter" 2>$errors); then
    echo "bad input was accepted: $bad"
    exit 1
  fi
  [ -z "$reply" ] && grep -q 'bad input' $errors || {
    echo "a reply or no message for bad input: $bad"
    exit 1
  }
done
rm -f $errors
boot='{"simTimeMs":1,"parts":[{"node":0,"inbox":[{"verb":"Boot","prng":1,"env":{}}]}]}'
printf '%s\n' "$boot" | "$adapter" | grep -q '"Die".*\|setting missing' || {
  echo "missing settings are not reported"
  exit 1
}
