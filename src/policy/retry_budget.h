// The retry budget of one node: how many retries all its requests may take together within a window. Without
// it every failure would be answered by a retry, and the trouble of one endpoint would become load on all
// others. Owns the times of recent arrivals and retries; pure. Design: docs/design.md.
#pragma once
#include <deque>
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// Counts arrivals and retries within the window of RetryBudgetSettings. Without settings nothing is limited.
class RetryBudget {
 public:
  /// A request has arrived.
  void record_arrival(const std::optional<RetryBudgetSettings>& settings, TimePoint now);
  /// A retry has been started.
  void record_retry(TimePoint now);
  /// The latest retry was withdrawn before its first byte.
  void withdraw_retry();
  /// Whether one more retry may be started. At both ends of the window the count errs on the side of fewer
  /// retries.
  [[nodiscard]] bool allows_retry(const std::optional<RetryBudgetSettings>& settings, TimePoint now);

 private:
  std::deque<TimePoint> arrivals_;
  std::deque<TimePoint> retries_;
};

}  // namespace dapplewharf
