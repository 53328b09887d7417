#include "policy/retry_budget.h"

namespace dapplewharf {

void RetryBudget::record_arrival(const std::optional<RetryBudgetSettings>& settings, TimePoint now) {
  if (settings) {
    arrivals_.push_back(now);
  }
}

void RetryBudget::record_retry(TimePoint now) {
  retries_.push_back(now);
}

void RetryBudget::withdraw_retry() {
  if (!retries_.empty()) {
    retries_.pop_back();
  }
}

bool RetryBudget::allows_retry(const std::optional<RetryBudgetSettings>& settings, TimePoint now) {
  if (!settings) {
    return true;
  }
  while (!arrivals_.empty() && now - arrivals_.front() >= settings->window) {
    arrivals_.pop_front();
  }
  while (!retries_.empty() && now - retries_.front() > settings->window + 1) {
    retries_.pop_front();
  }
  return static_cast<double>(retries_.size() + 1) <=
         settings->min_retries + settings->retry_ratio * static_cast<double>(arrivals_.size());
}

}  // namespace dapplewharf
