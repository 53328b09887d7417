#!/bin/sh
# The adapter on its wire: an empty batch is answered; bad input ends it with a message and no reply.
set -u
drill=$1
reply=$(printf '{"simTimeMs":1.5,"parts":[]}\n' | "$drill") || exit 1
[ "$reply" = '{"parts":[]}' ] || { echo "empty batch: $reply"; exit 1; }
for bad in 'no json' '{"simTimeMs":1,"parts":[{"inbox":[]}]}' '{"parts":[]}'; do
  if reply=$(printf '%s\n' "$bad" | "$drill" 2>/tmp/drill.$$); then echo "accepted: $bad"; exit 1; fi
  [ -z "$reply" ] && grep -q 'bad input' /tmp/drill.$$ || { echo "no plain message: $bad"; exit 1; }
done
rm -f /tmp/drill.$$
boot='{"simTimeMs":1,"parts":[{"node":0,"inbox":[{"verb":"Boot","prng":1,"env":{}}]}]}'
printf '%s\n' "$boot" | "$drill" | grep -q '"Die".*\|setting missing' || { echo "missing settings not told"; exit 1; }
