// The limit on attempts in flight while a dependency that all endpoints share (a store behind them) is slow
// or full: then no endpoint is to blame, and the retries of all nodes would keep it full. Additive increase
// with each good set-up, multiplicative decrease while most endpoints fail. Owns each endpoint's latest
// set-up result; pure. Design: docs/design.md.
#pragma once
#include <map>
#include <string>

#include "base/time.h"

namespace dapplewharf {

/// Learns from the results of this node's attempts whether most endpoints fail at once.
class AdaptiveAttemptLimit {
 public:
  /// Records the result of a set-up.
  /// @param in_flight attempts in flight, without the one that ended.
  /// @return whether the limit takes effect with this result, which is worth a line in the log.
  bool record_setup(const std::string& endpoint, bool is_good, int in_flight, TimePoint now);
  /// Whether failures are the shared dependency's, so that no endpoint is to be blamed for one.
  [[nodiscard]] bool shared_dependency_fails(TimePoint now) const;
  /// Whether the limit is in effect.
  [[nodiscard]] bool is_active(TimePoint now) const;
  /// Whether the limit is in effect and forbids one more attempt.
  [[nodiscard]] bool forbids_attempt(int in_flight, TimePoint now) const;

 private:
  struct SetupResult {
    TimePoint at = 0;
    bool is_good = false;
  };

  std::map<std::string, SetupResult> latest_results_;  // by endpoint, of the last second
  double max_in_flight_ = 1;
  TimePoint last_good_at_ = 0;
  TimePoint last_decrease_at_ = 0;  // 0: none yet
};

}  // namespace dapplewharf
