# Counts over a whole fleet, second by second, what its nodes did, from their logs at level debug (log { level =
# debug } in the operators' file). Each line begins with the second, as the bench writes it, then date, level, text.
#   awk -f tools/count.awk LOGS/*.log
# Columns: set-ups up, tries failed, connections dropped by hosts, moved or sent away, rejections, hosts seen to start
# cold, hosts turned bad, lists lost, weights frozen.
$1 !~ /^[0-9]+\.?[0-9]*$/ { next }
{
  second = int($1)
  if (second > last) last = second
  text = $0
  sub(/^[^ ]+ [^ ]+ [^ ]+ /, "", text)
}
text ~ /^host [^ ]+ is up, ms [0-9]+$/ { ++up[second] }
text ~ /ended a try, outcome [1-5]/ { ++failed[second] }
text ~ /ended a connection, outcome 5/ { ++dropped[second] }
text ~ /ended a connection, outcome 6/ { ++moved[second] }
text ~ /^rejected/ { ++rejected[second] }
text ~ /starts cold/ { ++cold[second] }
text ~ /(probes|set-ups) bad/ { ++bad[second] }
text ~ /^discovery's answer is lost/ { ++lists[second] }
text ~ /^weights frozen/ { ++frozen[second] }
END {
  print "second up failed dropped moved rejected cold bad lists frozen"
  for (i = 0; i <= last; ++i)
    print i, up[i] + 0, failed[i] + 0, dropped[i] + 0, moved[i] + 0, rejected[i] + 0, cold[i] + 0, bad[i] + 0,
          lists[i] + 0, frozen[i] + 0
}
