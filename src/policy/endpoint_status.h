// The state of one endpoint that it publishes to the other parts of the policy. Times are in ticks of 0.1 ms;
// a field named "..._until" is the time when its condition ends, so the condition does not hold if that time
// is in the past.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"

namespace dapplewharf {

/// The published state of one endpoint.
struct EndpointStatus {
  std::string zone, machine_type;
  std::int64_t cell = 0;
  double capacity = 1;                       // relative to a standard endpoint
  double score = 100;                        // health score, from 0 to 100
  double weight = 1;                         // health score times recovery ramp, from 0 to 1
  int open_connections = 0;                  // of this node, including attempts in flight
  double connections_elsewhere = -1;         // of all other nodes, from gossip or the list; below 0: unknown
  double reported_load = -1;                 // share of its capacity; below 0: not in the last report
  bool is_in_service = false;                // listed, and neither draining nor removed
  TimePoint slow_until = 0;                  // until when its messages count as slow
  TimePoint over_objective_until = 0;        // until when its messages count as over their latency objective
  TimePoint dropping_connections_until = 0;  // until when it counts as dropping established connections
  TimePoint headroom_until = 0;              // until when its report of spare capacity counts
  TimePoint slow_start_until = 0;            // when its slow start ends
  TimePoint wake_up_at = 0;                  // when its next periodic work is due
  bool operator==(const EndpointStatus&) const = default;
};

}  // namespace dapplewharf
