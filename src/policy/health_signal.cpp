// The state of a health signal after each result (policy/health_signal.h).
#include "policy/health_signal.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {

bool HealthSignal::add_result(bool succeeded) {
  const bool repeats_last_result = !latest_results_.empty() && latest_results_.back() == succeeded;
  consecutive_equal_results_ = repeats_last_result ? consecutive_equal_results_ + 1 : 1;
  latest_results_.push_back(succeeded);
  if (latest_results_.size() > kSuccessesToRecover) {
    latest_results_.pop_front();
  }
  if (is_healthy_ == succeeded ||
      consecutive_equal_results_ < (succeeded ? kSuccessesToRecover : kFailuresToDegrade)) {
    return false;
  }
  is_healthy_ = succeeded;
  return true;
}

double HealthSignal::success_share() const {
  const auto failures = std::count(latest_results_.begin(), latest_results_.end(), false);
  return 1 - static_cast<double>(failures) / kSuccessesToRecover;
}

bool HealthSignal::is_suspect() const {
  return !is_healthy_ || (!latest_results_.empty() && !latest_results_.back());
}

}  // namespace dapplewharf
