// Estimates how long a message takes at one host, from the lines that clients send there and from health
// checks. Owns the recent samples of one host and decides when a new estimate is worth reporting. Pure: the
// caller gives the time. Design: docs/design.md.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"

namespace dapplewharf {

/// Latency estimate of one host. All times and spans are in ticks of 0.1 ms.
class LatencyEstimator {
 public:
  /// Records a client's line that the host answered after `latency`.
  void record_line(TimePoint now, Duration latency);
  /// Records a health check that the host answered after `latency`.
  void record_health_check(TimePoint now, Duration latency);
  /// The shortest recent health check, or nothing when none was answered lately.
  [[nodiscard]] std::optional<Duration> shortest_health_check() const;

  /// The estimate to be reported now, if any: once a second while it is over a third of `objective`, and once
  /// more when it has fallen under.
  /// @param objective the message latency objective.
  /// @param unanswered how long each established connection's client has waited for an answer.
  /// @param baseline the longest that a health check takes while the host is idle, as other hosts show; 0
  ///        when unknown.
  [[nodiscard]] std::optional<Duration> report(TimePoint now, Duration objective,
                                               const std::vector<Duration>& unanswered,
                                               Duration baseline = 0);

 private:
  struct Sample {
    TimePoint at = 0;
    Duration latency = 0;
  };
  void expire_lines(TimePoint now);
  std::optional<Duration> median_line_latency(Duration limit, const std::vector<Duration>& unanswered) const;
  std::optional<Duration> health_check_latency(TimePoint now, Duration objective, Duration baseline) const;

  std::deque<Sample> lines_;
  std::deque<Sample> health_checks_;
  TimePoint reported_at_ = 0;
  bool over_limit_ = false;
};

/// The service time of a host of size 1 while idle, from `service_times`: for each host of a zone its
/// shortest health check times its size. 0 when there are none. The lowest third is skipped, because a host
/// that answers far too soon is no measure for the others.
[[nodiscard]] double baseline_service_time(std::vector<double> service_times);

}  // namespace dapplewharf
