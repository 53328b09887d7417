// Events on their way to the load balancer. Owns those that have not been handed over yet, in their order.
// Design: docs/design.md.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "policy/words.h"

namespace dapplewharf {

class EventQueue {
 public:
  /// Adds an event; the reference is valid until the next call.
  Event& add(EventKind kind, const std::string& id = "", const std::string& host = "") {
    Event& event = events_.emplace_back();
    event.kind = kind;
    event.id = id;
    event.host = host;
    return event;
  }
  [[nodiscard]] bool empty() const { return events_.empty(); }
  /// Takes all events out, the oldest first.
  [[nodiscard]] std::vector<Event> take() { return std::exchange(events_, {}); }

 private:
  std::vector<Event> events_;
};

}  // namespace dapplewharf
