// Additive increase, multiplicative decrease; see the header.
#include "policy/adaptive_attempt_limit.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {

bool AdaptiveAttemptLimit::record_setup(const std::string& endpoint, bool is_good, int in_flight,
                                        TimePoint now) {
  std::erase_if(latest_results_, [now](const auto& entry) { return now - entry.second.at > kSecond; });
  latest_results_[endpoint] = {now, is_good};
  if (is_good) {
    max_in_flight_ += 1 / max_in_flight_;
    last_good_at_ = now;
    return false;
  }
  if (!shared_dependency_fails(now) || now - last_decrease_at_ < kTimerInterval * 2) {
    return false;
  }
  const bool takes_effect = !is_active(now);
  if (takes_effect) {
    max_in_flight_ = in_flight + 1;
  }
  max_in_flight_ = std::max(1.0, max_in_flight_ / 2);
  last_decrease_at_ = now;
  return takes_effect;
}

bool AdaptiveAttemptLimit::shared_dependency_fails(TimePoint now) const {
  // With few attempts in flight results come one by one, and each would be taken for its endpoint's fault.
  if (is_active(now) && last_good_at_ < last_decrease_at_) {
    return true;
  }
  const auto failing = std::count_if(latest_results_.begin(), latest_results_.end(),
                                     [](const auto& entry) { return !entry.second.is_good; });
  return failing >= kFailuresToDegrade && failing * 2 > static_cast<std::ptrdiff_t>(latest_results_.size());
}

bool AdaptiveAttemptLimit::is_active(TimePoint now) const {
  return last_decrease_at_ > 0 && now - last_decrease_at_ < kFleetConditionLifetime;
}

bool AdaptiveAttemptLimit::forbids_attempt(int in_flight, TimePoint now) const {
  return is_active(now) && in_flight >= max_in_flight_;
}

}  // namespace dapplewharf
