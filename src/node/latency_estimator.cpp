// Samples, their expiry and the estimate. A slow endpoint may still answer lines immediately, so the time
// that a health check waits in the endpoint's queue is taken into account as well. Design: docs/design.md.
#include "node/latency_estimator.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Duration kLineWindow = 2 * kSecond;  // clients send a line about once in this time
constexpr Duration kReportInterval = kSecond;
constexpr Duration kMaxHealthCheckAge = 5 * kSecond;
// The shortest health check latency within this window is taken as the latency of the idle endpoint.
constexpr Duration kMinLatencyWindow = 120 * kSecond;
// The assumed service time of a message at an idle endpoint, as a share of the message latency objective.
constexpr double kServiceTimeShare = 1.0 / 5;
// Smaller differences between a health check and the idle latency are ignored; ticks of 0.1 ms.
constexpr Duration kHealthCheckNoise = 15;

}  // namespace

void LatencyEstimator::record_line(TimePoint now, Duration latency) {
  lines_.push_back({now, latency});
}

void LatencyEstimator::record_health_check(TimePoint now, Duration latency) {
  health_checks_.push_back({now, latency});
  while (now - health_checks_.front().taken_at >= kMinLatencyWindow) {
    health_checks_.pop_front();
  }
}

std::optional<Duration> LatencyEstimator::min_health_check_latency() const {
  if (health_checks_.empty()) {
    return std::nullopt;
  }
  const auto shorter = [](const Sample& a, const Sample& b) { return a.latency < b.latency; };
  return std::min_element(health_checks_.begin(), health_checks_.end(), shorter)->latency;
}

std::optional<Duration> LatencyEstimator::report(TimePoint now, Duration objective,
                                                 const std::vector<Duration>& unanswered, Duration baseline) {
  const Duration limit = objective / 3;
  remove_expired_lines(now);
  std::optional<Duration> estimate = median_line_latency(limit, unanswered);
  if (const auto waited = health_check_latency(now, objective, baseline)) {
    estimate = std::max(estimate.value_or(0), *waited);
  }
  if (!estimate) {
    return std::nullopt;
  }
  const bool is_over_limit = *estimate > limit;
  const bool is_due =
      is_over_limit ? !was_over_limit_ || now - reported_at_ >= kReportInterval : was_over_limit_;
  if (!is_due) {
    return std::nullopt;
  }
  was_over_limit_ = is_over_limit;
  reported_at_ = now;
  return estimate;
}

void LatencyEstimator::remove_expired_lines(TimePoint now) {
  while (!lines_.empty() && now - lines_.front().taken_at >= kLineWindow) {
    lines_.pop_front();
  }
}

std::optional<Duration> LatencyEstimator::median_line_latency(Duration limit,
                                                              const std::vector<Duration>& unanswered) const {
  std::vector<Duration> latencies;
  for (const Duration age : unanswered) {
    if (age > limit) {
      latencies.push_back(age);  // shorter waits do not show the latency yet
    }
  }
  for (const Sample& line : lines_) {
    latencies.push_back(line.latency);
  }
  if (latencies.empty()) {
    return std::nullopt;
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

std::optional<Duration> LatencyEstimator::health_check_latency(TimePoint now, Duration objective,
                                                               Duration baseline) const {
  if (health_checks_.empty() || now - health_checks_.back().taken_at >= kMaxHealthCheckAge) {
    return std::nullopt;
  }
  // Without the baseline of other endpoints, an endpoint that has been slow since this node started would
  // appear idle. A single health check is not compared with the baseline: connection setups at the start may
  // have delayed it.
  const Duration own = std::max<Duration>(*min_health_check_latency(), 1);
  const Duration idle = baseline > 0 && health_checks_.size() > 1 ? std::min(own, baseline) : own;
  const Duration last = health_checks_.back().latency;
  const Duration waited = last - idle;
  if (waited <= kHealthCheckNoise) {
    return waited;
  }
  // A message's service time grows by the same factor as the health check's.
  const auto scaled = static_cast<Duration>(kServiceTimeShare * static_cast<double>(objective * last) /
                                            static_cast<double>(idle));
  return std::max(waited, scaled);
}

double idle_service_time(std::vector<double> service_times) {
  if (service_times.empty()) {
    return 0;
  }
  std::sort(service_times.begin(), service_times.end());
  return service_times[(service_times.size() - 1) / 3];
}

}  // namespace dapplewharf
