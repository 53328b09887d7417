// The retry budget of one node: a limit on the retries of all its requests together within a window. Without
// it every failure would cause a retry, and the faults of one endpoint would become load on all others. Owns
// the times of recent arrivals and retries; reads no clock. Design: docs/design.md.
#pragma once
#include <deque>
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// Counts arrivals and retries within the window of RetryBudgetSettings. Without settings retries are not
/// limited.
class RetryBudget {
 public:
  /// A request has arrived.
  void record_arrival(const std::optional<RetryBudgetSettings>& settings, TimePoint now);
  /// A retry has been started.
  void record_retry(TimePoint now);
  /// The latest retry was withdrawn before its first byte and doesn't count.
  void withdraw_retry();
  /// Whether another retry may be started. At the edge of the window arrivals expire one tick early and
  /// retries one tick late, so that the limit is never exceeded.
  [[nodiscard]] bool allows_retry(const std::optional<RetryBudgetSettings>& settings, TimePoint now);

 private:
  std::deque<TimePoint> arrivals_;
  std::deque<TimePoint> retries_;
};

}  // namespace dapplewharf
