// Intervals of an endpoint's health checks (policy/health_check_schedule.h).
#include "policy/health_check_schedule.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kSteadyIntervalOfAllNodes = kSecond;
constexpr Duration kHurriedInterval = 200 * kMs;
constexpr Duration kHurriedIntervalOfAllNodes = 65 * kMs;

}  // namespace

HealthCheckSchedule::HealthCheckSchedule(const Settings& settings, TimePoint now, double phase)
    : settings_(settings) {
  next_check_at_ = now + static_cast<Duration>(phase * static_cast<double>(steady_interval()));
}

Duration HealthCheckSchedule::shared_interval(Duration own, Duration of_all_nodes) const {
  return std::max(own, static_cast<Duration>(static_cast<double>(of_all_nodes) * settings_.node_count));
}

Duration HealthCheckSchedule::steady_interval() const {
  return shared_interval(kSteadyHealthCheckInterval, kSteadyIntervalOfAllNodes);
}

Duration HealthCheckSchedule::hurried_interval() const {
  return shared_interval(kHurriedInterval, kHurriedIntervalOfAllNodes);
}

void HealthCheckSchedule::hurry(TimePoint now) {
  next_check_at_ = std::min(next_check_at_, now + hurried_interval() / 2);
}

void HealthCheckSchedule::note_started(TimePoint now, bool in_doubt, Duration min_steady_interval) {
  in_flight_ = true;
  next_check_at_ = now + (in_doubt ? hurried_interval() : std::max(min_steady_interval, steady_interval()));
}

void HealthCheckSchedule::note_ended(TimePoint now) {
  in_flight_ = false;
  last_ended_at_ = now;
}

bool HealthCheckSchedule::checked_recently(TimePoint now) const {
  return last_ended_at_ && now - *last_ended_at_ <= kSteadyHealthCheckInterval;
}

}  // namespace dapplewharf
