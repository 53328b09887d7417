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
text ~ /^connection_established host=[^ ]+ setup_ms=[0-9]+ adopted=false$/ { ++up[second] }
text ~ /^attempt_ended .*outcome=(error|rejected|timed_out|connect_failed|connection_lost) / { ++failed[second] }
text ~ /^connection_ended .*outcome=connection_lost / { ++dropped[second] }
text ~ /^connection_ended .*outcome=cancelled / { ++moved[second] }
text ~ /^request_rejected / { ++rejected[second] }
text ~ /^slow_start_started / { ++cold[second] }
text ~ /^health_degraded / { ++bad[second] }
text ~ /^endpoint_list_call_lost / { ++lists[second] }
text ~ /^weights_frozen / { ++frozen[second] }
END {
  print "second up failed dropped moved rejected cold bad lists frozen"
  for (i = 0; i <= last; ++i)
    print i, up[i] + 0, failed[i] + 0, dropped[i] + 0, moved[i] + 0, rejected[i] + 0, cold[i] + 0, bad[i] + 0,
          lists[i] + 0, frozen[i] + 0
}
