// Samples, their expiry and the estimate. A host that is slow may still echo lines at once, so the time that
// a health check waits in the host's queue counts as well. Design: docs/design.md.
#include "node/latency_estimator.h"

#include <algorithm>

namespace dapplewharf {
namespace {

constexpr Tenths kLineWindow = 2 * kSecond;  // as often as clients send a line
constexpr Tenths kReportInterval = kSecond;
constexpr Tenths kHealthCheckValidity = 5 * kSecond;
constexpr Tenths kShortestWindow = 120 * kSecond;  // for the round trip and the idle service time
constexpr double kServiceShare = 1.0 / 5;          // of an objective: what a message takes at an idle host
constexpr Tenths kNoise = 15;  // a health check's excess over the shortest that says nothing

}  // namespace

void LatencyEstimator::record_line(Tenths now, Tenths latency) {
  lines_.push_back({now, latency});
}

void LatencyEstimator::record_health_check(Tenths now, Tenths latency) {
  health_checks_.push_back({now, latency});
  while (now - health_checks_.front().at >= kShortestWindow) {
    health_checks_.pop_front();
  }
}

std::optional<Tenths> LatencyEstimator::shortest_health_check() const {
  if (health_checks_.empty()) {
    return std::nullopt;
  }
  const auto shorter = [](const Sample& a, const Sample& b) { return a.latency < b.latency; };
  return std::min_element(health_checks_.begin(), health_checks_.end(), shorter)->latency;
}

std::optional<Tenths> LatencyEstimator::report(Tenths now, Tenths objective,
                                               const std::vector<Tenths>& unanswered, Tenths baseline) {
  const Tenths limit = objective / 3;
  expire_lines(now);
  std::optional<Tenths> estimate = median_line_latency(limit, unanswered);
  if (const auto waited = health_check_latency(now, objective, baseline)) {
    estimate = std::max(estimate.value_or(0), *waited);
  }
  if (!estimate) {
    return std::nullopt;
  }
  const bool over = *estimate > limit;
  const bool due = over ? !over_limit_ || now - reported_at_ >= kReportInterval : over_limit_;
  if (!due) {
    return std::nullopt;
  }
  over_limit_ = over;
  reported_at_ = now;
  return estimate;
}

void LatencyEstimator::expire_lines(Tenths now) {
  while (!lines_.empty() && now - lines_.front().at >= kLineWindow) {
    lines_.pop_front();
  }
}

std::optional<Tenths> LatencyEstimator::median_line_latency(Tenths limit,
                                                            const std::vector<Tenths>& unanswered) const {
  std::vector<Tenths> latencies;
  for (const Tenths age : unanswered) {
    if (age > limit) {
      latencies.push_back(age);  // younger ones say nothing yet
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

std::optional<Tenths> LatencyEstimator::health_check_latency(Tenths now, Tenths objective,
                                                             Tenths baseline) const {
  if (health_checks_.empty() || now - health_checks_.back().at >= kHealthCheckValidity) {
    return std::nullopt;
  }
  // Without the other hosts' baseline, a host that has been slow ever since this node started seems idle. One
  // health check alone may have been delayed by the setups of a start.
  const Tenths own = std::max<Tenths>(*shortest_health_check(), 1);
  const Tenths idle = baseline > 0 && health_checks_.size() > 1 ? std::min(own, baseline) : own;
  const Tenths last = health_checks_.back().latency;
  const Tenths waited = last - idle;
  if (waited <= kNoise) {
    return waited;
  }
  // A message's own service time grows as the health check's has; the rest of that time it waits as well.
  const auto stretched =
      static_cast<Tenths>(kServiceShare * static_cast<double>(objective * last) / static_cast<double>(idle));
  return std::max(waited, stretched);
}

double baseline_service_time(std::vector<double> service_times) {
  if (service_times.empty()) {
    return 0;
  }
  std::sort(service_times.begin(), service_times.end());
  return service_times[(service_times.size() - 1) / 3];
}

}  // namespace dapplewharf
