// The verdict on the last results of one health signal (policy/health_signal.h).
#include "policy/health_signal.h"

#include <algorithm>

#include "policy/constants.h"

namespace dapplewharf {

bool HealthSignal::add(bool succeeded) {
  const bool repeats = !results_.empty() && results_.back() == succeeded;
  equal_results_ = repeats ? equal_results_ + 1 : 1;
  results_.push_back(succeeded);
  if (results_.size() > kSuccessesToRecover) {
    results_.pop_front();
  }
  if (healthy_ == succeeded || equal_results_ < (succeeded ? kSuccessesToRecover : kFailuresToDegrade)) {
    return false;
  }
  healthy_ = succeeded;
  return true;
}

double HealthSignal::success_share() const {
  const auto failures = std::count(results_.begin(), results_.end(), false);
  return 1 - static_cast<double>(failures) / kSuccessesToRecover;
}

bool HealthSignal::in_doubt() const {
  return !healthy_ || (!results_.empty() && !results_.back());
}

}  // namespace dapplewharf
