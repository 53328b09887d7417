# Counts the events in the logs of all nodes of a deployment, second by second. The logs must be at level debug
# (log { level = debug } in the operators' file), and each line must begin with the second of the run, then date,
# level and text.
#   awk -f tools/count.awk LOGS/*.log
# Columns: connections established, attempts failed, connections lost at an endpoint, connections migrated or
# cancelled, requests rejected, slow starts begun, endpoints that became unhealthy, endpoint list calls lost, and
# weights frozen.
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
