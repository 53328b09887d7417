#include "policy/adaptive_attempt_limit.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {

bool AdaptiveAttemptLimit::record_setup(const std::string& endpoint, bool was_in_time, int in_flight,
                                        TimePoint now) {
  std::erase_if(latest_results_, [now](const auto& entry) { return now - entry.second.ended_at > kSecond; });
  latest_results_[endpoint] = {now, was_in_time};
  if (was_in_time) {
    max_in_flight_ += 1 / max_in_flight_;
    last_in_time_at_ = now;
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
  // A low limit allows only a few attempts in flight. Then fewer endpoints fail within a second than the
  // count below requires. So all failures count as failures of the shared dependency until a setup is in time
  // again after the last decrease.
  if (is_active(now) && last_in_time_at_ < last_decrease_at_) {
    return true;
  }
  const auto failing = std::count_if(latest_results_.begin(), latest_results_.end(),
                                     [](const auto& entry) { return !entry.second.was_in_time; });
  return failing >= kFailuresToDegrade && failing * 2 > static_cast<std::ptrdiff_t>(latest_results_.size());
}

bool AdaptiveAttemptLimit::is_active(TimePoint now) const {
  return last_decrease_at_ > 0 && now - last_decrease_at_ < kFleetConditionLifetime;
}

bool AdaptiveAttemptLimit::forbids_attempt(int in_flight, TimePoint now) const {
  return is_active(now) && in_flight >= max_in_flight_;
}

}  // namespace dapplewharf
