// The recovery ramp: an endpoint that was degraded gets its weight back in steps, after a cooldown that
// doubles with each recent degradation. Without it an endpoint that flaps would be filled and emptied in
// turn. Design: docs/design.md.
#pragma once
#include <deque>

#include "base/time.h"

namespace dapplewharf {

/// The current step of an endpoint on its way back to full weight.
class RecoveryRamp {
 public:
  /// Returns to the first step without a cooldown.
  void restart(TimePoint now);

  /// Returns to the first step after a degradation. The step begins when the cooldown has passed; the
  /// cooldown doubles with each earlier degradation within the last minute.
  void restart_after_cooldown(TimePoint now);

  /// Moves to the next step.
  void advance(TimePoint now);

  /// When the next step is due; kNever at full weight.
  [[nodiscard]] TimePoint next_step_at() const;

  /// Whether the endpoint has its full weight.
  [[nodiscard]] bool is_complete() const;

  /// The share of its full weight that the endpoint has now, above 0 and up to 1.
  [[nodiscard]] double weight_share() const;

 private:
  int step_ = kLastStep;
  TimePoint step_started_at_ = 0;              // in the future during a cooldown
  std::deque<TimePoint> recent_degradations_;  // oldest first

  static constexpr int kLastStep = 3;
};

}  // namespace dapplewharf
