// How long messages take at one endpoint: whether it counts as slow, misses its objective, and how many
// connections it may be filled with after it was overloaded. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The last reported message latency of an endpoint and what follows from it.
class MessageLatency {
 public:
  /// @param settings must outlive this object; read anew at each call.
  explicit MessageLatency(const Settings& settings) : settings_(settings) {}

  /// Notes a report.
  /// @param latency ticks of 0.1 ms, with fractions.
  /// @param open_connections of this node at the endpoint.
  void record(TimePoint now, double latency, int open_connections);

  /// The last reported latency, in ticks of 0.1 ms; 0 before the first report.
  [[nodiscard]] double latency() const { return latency_; }

  /// Whether messages have taken a considerable part of their objective of late.
  [[nodiscard]] bool slow(TimePoint now) const;

  /// Until when the endpoint counts as slow; 0 where it does not.
  [[nodiscard]] TimePoint slow_until() const;

  /// Until when the endpoint counts as over its objective; 0 where it does not.
  [[nodiscard]] TimePoint over_objective_until() const;

  /// Whether messages take longer than any client waits.
  [[nodiscard]] bool over_every_deadline(TimePoint now) const;

  /// Whether so many messages miss their objective that migrating a connection is worth its price.
  [[nodiscard]] bool justifies_migration(TimePoint now) const;

  /// Whether the endpoint holds as many connections as when it last missed its objective. Without this it
  /// would be filled to the same overload again as soon as it has recovered.
  [[nodiscard]] bool at_connection_cap(TimePoint now, int open_connections) const;

 private:
  struct ConnectionCap {
    TimePoint set_at = 0;
    int connections = 0;
  };

  [[nodiscard]] double objective() const;

  const Settings& settings_;
  double latency_ = 0;
  std::optional<TimePoint> slow_report_at_;  // the last report, if it told of slow messages
  std::optional<ConnectionCap> cap_;
};

}  // namespace dapplewharf
