// The queue of events that have not been passed to the load balancer yet. Design: docs/design.md.
#pragma once
#include <utility>
#include <vector>

#include "policy/events.h"

namespace dapplewharf {

/// Events in the order in which they were added.
class EventQueue {
 public:
  void add(PolicyEvent event) { events_.push_back(std::move(event)); }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  /// Removes and returns all events, the oldest first.
  [[nodiscard]] std::vector<PolicyEvent> take() { return std::exchange(events_, {}); }

 private:
  std::vector<PolicyEvent> events_;
};

}  // namespace dapplewharf
