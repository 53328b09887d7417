// The times of a shutdown and the phase at a given time. Design: docs/design.md.
#include "node/shutdown.h"

#include <algorithm>

namespace dapplewharf {

bool Shutdown::begin(TimePoint now, std::optional<Duration> longest_deadline) {
  if (began_at_) {
    return false;
  }
  began_at_ = now;
  ends_by_ = now + std::min(longest_deadline.value_or(kMaxRequestWait), kMaxRequestWait) + kKillMargin;
  return true;
}

ShutdownPhase Shutdown::phase(TimePoint now) const {
  if (!began_at_) {
    return ShutdownPhase::running;
  }
  if (now >= ends_by_) {
    return ShutdownPhase::overdue;
  }
  if (now - *began_at_ < kLateClientPeriod) {
    return ShutdownPhase::accepting_late_clients;
  }
  return now < requests_close_at() ? ShutdownPhase::finishing : ShutdownPhase::closing;
}

}  // namespace dapplewharf
