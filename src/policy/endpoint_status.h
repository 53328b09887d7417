// What one endpoint tells the other parts of the policy of itself. Times are in ticks of 0.1 ms; a state that
// lasts until a time in the past does not hold.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"

namespace dapplewharf {

struct EndpointStatus {
  std::string zone, machine_type;
  std::int64_t cell = 0;
  double size = 1;  // relative capacity
  double score = 100;
  double weight = 1;                   // score and recovery ramp together, from 0 to 1
  int open_connections = 0;            // connections of this node, with attempts in flight
  double connections_elsewhere = -1;   // connections of all other nodes, by gossip; below 0: unknown
  double reported_load = -1;           // over its capacity, as last reported; below 0: not of late
  bool in_service = false;             // listed, and neither draining nor removed
  TimePoint slow_until = 0;            // until when its messages count as slow
  TimePoint over_objective_until = 0;  // until when its messages count as over their latency objective
  TimePoint dropping_until = 0;        // until when it counts as dropping established connections
  TimePoint headroom_until = 0;        // until when it counts as reporting headroom
  TimePoint cold_until = 0;            // until when it is in slow start
  TimePoint wake_at = 0;               // when it wants to be woken
  bool operator==(const EndpointStatus&) const = default;
};

}  // namespace dapplewharf
