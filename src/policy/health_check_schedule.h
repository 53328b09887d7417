// When this node checks the health of one endpoint. All nodes share a rate for each endpoint, since the
// checks of many nodes would otherwise add up to more work than their connections. Design: docs/design.md.
#pragma once
#include <optional>

#include "base/time.h"
#include "policy/settings.h"

namespace dapplewharf {

/// The least interval between checks while the endpoint's health is not in doubt.
inline constexpr Duration kSteadyHealthCheckInterval = 1500 * kMs;

/// The schedule of one endpoint's health checks; at most one is in flight.
class HealthCheckSchedule {
 public:
  /// @param settings must outlive this object; read anew at each call.
  /// @param phase 0 to 1: where in the first interval this node begins, so that nodes do not check in step.
  HealthCheckSchedule(const Settings& settings, TimePoint now, double phase);

  /// Makes a check due at once.
  void check_now(TimePoint now) { next_check_at_ = now; }

  /// Brings the next check forward after a bad result.
  void hurry(TimePoint now);

  /// Whether checks are allowed and none is in flight.
  [[nodiscard]] bool may_start() const { return settings_.health_checks_allowed && !in_flight_; }

  [[nodiscard]] bool in_flight() const { return in_flight_; }

  /// When the next check is due.
  [[nodiscard]] TimePoint next_check_at() const { return next_check_at_; }

  /// Notes that a check has been sent, and plans the next one.
  /// @param in_doubt the endpoint's health is in doubt: the next check follows soon.
  /// @param min_steady_interval least time between checks otherwise, for their price.
  void note_started(TimePoint now, bool in_doubt, Duration min_steady_interval);

  /// Notes that the check in flight has ended.
  void note_ended(TimePoint now);

  /// Whether the last result is no older than the interval of a node that checks steadily and alone.
  [[nodiscard]] bool checked_recently(TimePoint now) const;

 private:
  [[nodiscard]] Duration steady_interval() const;
  [[nodiscard]] Duration hurried_interval() const;
  [[nodiscard]] Duration shared_interval(Duration own, Duration of_all_nodes) const;

  const Settings& settings_;
  TimePoint next_check_at_ = 0;
  std::optional<TimePoint> last_ended_at_;
  bool in_flight_ = false;
};

}  // namespace dapplewharf
