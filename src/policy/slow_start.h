// Slow start: how many connections this node may open to an endpoint that has just started and cannot bear
// its full load yet. All nodes divide what such an endpoint bears by the one clock that they share, its age.
// Design: docs/design.md.
#pragma once
#include <string>

#include "base/random.h"
#include "base/time.h"
#include "policy/sent_work_window.h"
#include "policy/settings.h"

namespace dapplewharf {

/// What is known around an endpoint in slow start when a connection is to be admitted.
struct SlowStartConditions {
  double size = 1;                     // the endpoint's relative capacity
  double sustained_by_warm = 0;        // connections of this node at a warm endpoint of its kind, for size 1
  double quota_per_size = 0;           // connections of all nodes that tenants' quotas grant, for size 1
  double selections_per_size = 0;      // selections by this node within kSelectionWindow, for size 1
  double group_selections = 0;         // those for the connection's affinity group
  bool is_surge = false;               // some endpoint has trouble: new connections are limited
  bool reports_headroom = false;       // the endpoint itself reported little load just now
  bool knows_other_nodes_use = false;  // other nodes told what they hold here
};

/// The warm-up of one endpoint and this node's part of what it may be sent meanwhile.
class SlowStart {
 public:
  /// @param settings must outlive this object; read anew at each call.
  SlowStart(const Settings& settings, const std::string& endpoint_id);

  /// Sets when the endpoint started; 0: long ago.
  void set_started(TimePoint started) { started_ = started; }
  [[nodiscard]] TimePoint started() const { return started_; }

  /// Time since the endpoint's start; the whole warm-up time where the start is long ago.
  [[nodiscard]] Duration age(TimePoint now) const;

  /// Whether the endpoint is still warming up.
  [[nodiscard]] bool active(TimePoint now) const { return age(now) < settings_.warm_up_time; }

  /// When the warm-up ends; 0 where the start is long ago.
  [[nodiscard]] TimePoint ends_at() const;

  /// Whether this node may open one more connection to the endpoint while it warms up.
  /// @param sent what this node has sent there of late.
  /// @param random drawn from only when neither a slot nor the allowance decides.
  [[nodiscard]] bool admits_connection(TimePoint now, const SlowStartConditions& conditions,
                                       const SentWorkWindow& sent, RandomGenerator& random) const;

  /// New connections that this node may have opened in total by this age, with fractions; what it may open
  /// within a window is the difference of two such values.
  /// @param age ticks of 0.1 ms since the endpoint's start.
  [[nodiscard]] double allowance_since_start(double age, const SlowStartConditions& conditions) const;

 private:
  [[nodiscard]] double sustainable_connections(const SlowStartConditions& conditions) const;
  [[nodiscard]] double slot_offset() const;
  [[nodiscard]] bool admits_by_chance(TimePoint now, double allowance_in_window,
                                      const SlowStartConditions& conditions, const SentWorkWindow& sent,
                                      RandomGenerator& random) const;

  const Settings& settings_;
  double endpoint_hash_;
  TimePoint started_ = 0;
};

}  // namespace dapplewharf
