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
  void record_line(Tenths now, Tenths latency);
  /// Records a health check that the host answered after `latency`.
  void record_health_check(Tenths now, Tenths latency);
  /// The shortest recent health check, or nothing when none was answered lately.
  [[nodiscard]] std::optional<Tenths> shortest_health_check() const;

  /// The estimate to be reported now, if any: once a second while it is over a third of `objective`, and once
  /// more when it has fallen under.
  /// @param objective the message latency objective.
  /// @param unanswered how long each established connection's client has waited for an answer.
  /// @param baseline the longest that a health check takes while the host is idle, as other hosts show; 0
  ///        when unknown.
  [[nodiscard]] std::optional<Tenths> report(Tenths now, Tenths objective,
                                             const std::vector<Tenths>& unanswered, Tenths baseline = 0);

 private:
  struct Sample {
    Tenths at = 0;
    Tenths latency = 0;
  };
  void expire_lines(Tenths now);
  std::optional<Tenths> median_line_latency(Tenths limit, const std::vector<Tenths>& unanswered) const;
  std::optional<Tenths> health_check_latency(Tenths now, Tenths objective, Tenths baseline) const;

  std::deque<Sample> lines_;
  std::deque<Sample> health_checks_;
  Tenths reported_at_ = 0;
  bool over_limit_ = false;
};

/// The service time of a host of size 1 while idle, from `service_times`: for each host of a zone its
/// shortest health check times its size. 0 when there are none. The lowest third is skipped, because a host
/// that answers far too soon is no measure for the others.
[[nodiscard]] double baseline_service_time(std::vector<double> service_times);

}  // namespace dapplewharf
