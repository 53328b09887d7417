// When this node checks the health of one endpoint. The rate at which all nodes together check one endpoint
// is limited; otherwise the checks of many nodes would be more work for the endpoint than their connections.
// Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// Shortest interval between one node's checks of an endpoint whose health is not suspect.
inline constexpr Duration kMinSteadyHealthCheckInterval = 1500 * kMs;

/// The schedule of one endpoint's health checks; at most one is in flight.
class HealthCheckSchedule {
 public:
  /// @param settings are read at each call and must outlive this object.
  /// @param phase when the first check is due, as a share (0 to 1) of the steady interval. A random phase
  ///     keeps nodes from checking at the same time.
  HealthCheckSchedule(const Settings& settings, TimePoint now, double phase);

  /// Makes the next check due at once.
  void make_due_now(TimePoint now) { next_check_at_ = now; }

  /// Brings the next check forward, after a failure.
  void bring_forward(TimePoint now);

  /// Whether checks are allowed and none is in flight.
  [[nodiscard]] bool may_start_check() const {
    return settings_.health_checks_allowed && !is_check_in_flight_;
  }

  [[nodiscard]] bool is_check_in_flight() const { return is_check_in_flight_; }

  /// When the next check is due.
  [[nodiscard]] TimePoint next_check_at() const { return next_check_at_; }

  /// Records that a check has been sent, and schedules the next one.
  /// @param is_suspect whether the endpoint's health is suspect; the next check then follows sooner.
  /// @param min_steady_interval shortest time to the next check if the health is not suspect, in ticks of
  ///     0.1 ms; it limits the cost of health checks.
  void record_check_started(TimePoint now, bool is_suspect, Duration min_steady_interval);

  /// Records that the check in flight has ended.
  void record_check_ended(TimePoint now);

  /// Whether the last result is at most kMinSteadyHealthCheckInterval old.
  [[nodiscard]] bool was_checked_recently(TimePoint now) const;

 private:
  [[nodiscard]] Duration steady_interval() const;
  [[nodiscard]] Duration suspect_interval() const;
  // The interval between this node's checks of the endpoint: at least `interval_of_one_node`, and long enough
  // that the checks of all nodes together are on average no less than `interval_of_all_nodes` apart.
  [[nodiscard]] Duration shared_interval(Duration interval_of_one_node, Duration interval_of_all_nodes) const;

  const Settings& settings_;
  TimePoint next_check_at_ = 0;
  std::optional<TimePoint> last_check_ended_at_;
  bool is_check_in_flight_ = false;
};

}  // namespace dapplewharf
