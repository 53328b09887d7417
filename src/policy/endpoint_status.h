// What one endpoint tells the other parts of the policy of itself. Times are in ticks of 0.1 ms; a state that
// lasts until a time in the past does not hold.
#pragma once
#include <cstdint>
#include <string>

#include "base/time.h"

namespace dapplewharf {

struct EndpointStatus {
  std::string zone, kind;
  std::int64_t cell = 0;
  double size = 1;  // relative capacity
  double score = 100;
  double weight = 1;       // score and recovery ramp together, from 0 to 1
  int open = 0;            // connections of this node, with attempts in flight
  double elsewhere = -1;   // connections of all other nodes, by gossip; below 0: unknown
  double load = -1;        // over its capacity, as last reported; below 0: not of late
  bool healthy = false;    // listed, and neither draining nor removed
  TimePoint strained = 0;  // until when its messages count as slow
  TimePoint late = 0;      // until when its messages count as over their latency objective
  TimePoint shedding = 0;  // until when it counts as dropping established connections
  TimePoint roomy = 0;     // until when it counts as reporting headroom
  TimePoint cold = 0;      // until when it is in slow start
  TimePoint due = 0;       // when it wants to be woken
  bool operator==(const EndpointStatus&) const = default;
};

}  // namespace dapplewharf
