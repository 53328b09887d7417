// Estimates the message latency of one endpoint from the lines that clients send there and from health
// checks. Owns the recent samples and decides when an estimate is reported. Pure: the caller passes the time.
// Design: docs/design.md.
#pragma once
#include <deque>
#include <optional>
#include <vector>

#include "base/time.h"

namespace dapplewharf {

/// The latency estimate of one endpoint. All times and durations are in ticks of 0.1 ms.
class LatencyEstimator {
 public:
  /// Records a client's line that the endpoint answered after `latency`.
  void record_line(TimePoint now, Duration latency);
  /// Records a health check that the endpoint answered after `latency`.
  void record_health_check(TimePoint now, Duration latency);
  /// Returns the shortest recent health check latency; nothing if there is no recent sample.
  [[nodiscard]] std::optional<Duration> min_health_check_latency() const;

  /// Returns the estimate if it is to be reported now: once a second while it is above a third of
  /// `objective`, and once when it has fallen below that limit.
  /// @param objective the message latency objective.
  /// @param unanswered for each established connection, how long its client has been waiting for an answer.
  /// @param baseline the longest time that a health check takes while the endpoint is idle, estimated from
  ///        other endpoints; 0 if unknown.
  [[nodiscard]] std::optional<Duration> report(TimePoint now, Duration objective,
                                               const std::vector<Duration>& unanswered,
                                               Duration baseline = 0);

 private:
  struct Sample {
    TimePoint taken_at = 0;
    Duration latency = 0;
  };
  void remove_expired_lines(TimePoint now);
  std::optional<Duration> median_line_latency(Duration limit, const std::vector<Duration>& unanswered) const;
  std::optional<Duration> health_check_latency(TimePoint now, Duration objective, Duration baseline) const;

  std::deque<Sample> lines_;
  std::deque<Sample> health_checks_;
  TimePoint reported_at_ = 0;
  bool was_over_limit_ = false;
};

/// Estimates the service time of an idle endpoint of size 1.
/// @param service_times for each endpoint of a zone, its shortest health check latency multiplied by its
///        size.
/// @return the sorted value at index (count - 1) / 3, rounded down; 0 if there are no values. Of four or more
///        values it is not the lowest, because endpoints that answer much too fast are not representative.
[[nodiscard]] double idle_service_time(std::vector<double> service_times);

}  // namespace dapplewharf
