// The recovery ramp: an endpoint that was degraded gets its weight back in steps, after a cooldown that grows
// with every recent fall. Without it an endpoint that flaps would be filled and emptied in turn.
// Design: docs/design.md.
#pragma once
#include <deque>

#include "base/time.h"

namespace dapplewharf {

/// Where an endpoint stands on its way back to full weight.
class RecoveryRamp {
 public:
  /// Back to the first step at once, without a cooldown.
  void restart(TimePoint now);

  /// Back to the first step after a fall; the ramp begins when the cooldown has passed. The cooldown doubles
  /// with each fall that is still remembered.
  void restart_after_cooldown(TimePoint now);

  /// Takes the next step.
  void advance(TimePoint now);

  /// When the next step is due; kNever at full weight.
  [[nodiscard]] TimePoint next_step_at() const;

  /// Whether the endpoint has its full weight.
  [[nodiscard]] bool complete() const;

  /// The share of its weight that the endpoint has now, above 0 and up to 1.
  [[nodiscard]] double share() const;

 private:
  int step_ = kLastStep;
  TimePoint step_since_ = 0;     // in the future while the cooldown lasts
  std::deque<TimePoint> falls_;  // those still remembered

  static constexpr int kLastStep = 3;
};

}  // namespace dapplewharf
