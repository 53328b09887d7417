// The intervals of an endpoint's health checks (policy/health_check_schedule.h).
#include "policy/health_check_schedule.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kSteadyIntervalOfAllNodes = kSecond;
constexpr Duration kMinSuspectInterval = 200 * kMs;
constexpr Duration kSuspectIntervalOfAllNodes = 65 * kMs;

}  // namespace

HealthCheckSchedule::HealthCheckSchedule(const Settings& settings, TimePoint now, double phase)
    : settings_(settings) {
  next_check_at_ = now + static_cast<Duration>(phase * static_cast<double>(steady_interval()));
}

Duration HealthCheckSchedule::shared_interval(Duration interval_of_one_node,
                                              Duration interval_of_all_nodes) const {
  return std::max(interval_of_one_node,
                  static_cast<Duration>(static_cast<double>(interval_of_all_nodes) * settings_.node_count));
}

Duration HealthCheckSchedule::steady_interval() const {
  return shared_interval(kMinSteadyHealthCheckInterval, kSteadyIntervalOfAllNodes);
}

Duration HealthCheckSchedule::suspect_interval() const {
  return shared_interval(kMinSuspectInterval, kSuspectIntervalOfAllNodes);
}

void HealthCheckSchedule::bring_forward(TimePoint now) {
  next_check_at_ = std::min(next_check_at_, now + suspect_interval() / 2);
}

void HealthCheckSchedule::record_check_started(TimePoint now, bool is_suspect, Duration min_steady_interval) {
  is_check_in_flight_ = true;
  next_check_at_ = now + (is_suspect ? suspect_interval() : std::max(min_steady_interval, steady_interval()));
}

void HealthCheckSchedule::record_check_ended(TimePoint now) {
  is_check_in_flight_ = false;
  last_check_ended_at_ = now;
}

bool HealthCheckSchedule::was_checked_recently(TimePoint now) const {
  return last_check_ended_at_ && now - *last_check_ended_at_ <= kMinSteadyHealthCheckInterval;
}

}  // namespace dapplewharf
