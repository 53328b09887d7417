// Events on their way to the load balancer. Owns those that have not been handed over yet, in their order.
// Design: docs/design.md.
#pragma once
#include <utility>
#include <vector>

#include "policy/events.h"

namespace dapplewharf {

class EventQueue {
 public:
  void add(PolicyEvent event) { events_.push_back(std::move(event)); }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  /// Takes all events out, the oldest first.
  [[nodiscard]] std::vector<PolicyEvent> take() { return std::exchange(events_, {}); }

 private:
  std::vector<PolicyEvent> events_;
};

}  // namespace dapplewharf
