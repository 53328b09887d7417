// The message latency of one endpoint: whether the endpoint counts as slow or as over its latency objective,
// and how many connections it may hold after an overload. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The last reported message latency of an endpoint and the conditions that follow from it.
class MessageLatency {
 public:
  /// @param settings are read at each call and must outlive this object.
  explicit MessageLatency(const Settings& settings) : settings_(settings) {}

  /// Records a report.
  /// @param latency ticks of 0.1 ms, with fractions.
  /// @param open_connections connections of this node at the endpoint, including attempts in flight.
  void record(TimePoint now, double latency, int open_connections);

  /// The last reported latency, in ticks of 0.1 ms; 0 before the first report.
  [[nodiscard]] double latency() const { return latency_; }

  /// Whether the endpoint counts as slow: its last report is recent and over a third of the latency
  /// objective.
  [[nodiscard]] bool is_slow(TimePoint now) const;

  /// Until when the endpoint counts as slow; 0 if its last report was not slow.
  [[nodiscard]] TimePoint slow_until() const;

  /// Until when the endpoint counts as over its objective; 0 if its last report was within the objective.
  [[nodiscard]] TimePoint over_objective_until() const;

  /// Whether messages take longer than the longest deadline of any client.
  [[nodiscard]] bool exceeds_longest_deadline(TimePoint now) const;

  /// Whether so many messages miss their objective that migrating a connection is worth its price.
  [[nodiscard]] bool justifies_migration(TimePoint now) const;

  /// Whether the endpoint holds as many connections as when it last missed its objective, if that was recent.
  /// Without this cap it would be overloaded again as soon as it has recovered.
  [[nodiscard]] bool is_at_connection_cap(TimePoint now, int open_connections) const;

 private:
  struct ConnectionCap {
    TimePoint set_at = 0;
    int connections = 0;
  };

  [[nodiscard]] double objective() const;

  const Settings& settings_;
  double latency_ = 0;
  std::optional<TimePoint> last_slow_report_at_;  // time of the last report, if it was a slow one
  std::optional<ConnectionCap> cap_;
};

}  // namespace dapplewharf
