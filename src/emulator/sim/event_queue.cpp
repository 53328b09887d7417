#include "emulator/sim/event_queue.h"

#include <algorithm>

namespace dapplewharf::emulator {

void EventQueue::schedule(TimePoint when, SimEvent event) {
  entries_.push({std::max(when, now_), ++next_sequence_, event});
}

bool EventQueue::has_event_until(TimePoint last) const {
  return !entries_.empty() && entries_.top().when <= last;
}

SimEvent EventQueue::take_next() {
  const Entry next = entries_.top();
  entries_.pop();
  now_ = next.when;
  return next.event;
}

}  // namespace dapplewharf::emulator
