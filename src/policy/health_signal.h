// One of the two health signals of an endpoint: its latest results, and whether they make it healthy or
// degraded. The state changes only after several equal results in a row, so that one failure does not eject
// an endpoint. Design: docs/design.md.
#pragma once
#include <cstddef>
#include <deque>

namespace dapplewharf {

/// Consecutive successes that turn a degraded signal healthy; also the number of results that success_share()
/// covers.
inline constexpr int kSuccessesToRecover = 12;

/// The latest results of one source (health checks or connection attempts) and the resulting state.
class HealthSignal {
 public:
  /// Adds a result.
  /// @return whether the signal changed between healthy and degraded.
  bool add_result(bool succeeded);

  /// Healthy until kFailuresToDegrade consecutive failures, then degraded until kSuccessesToRecover
  /// consecutive successes.
  [[nodiscard]] bool is_healthy() const { return is_healthy_; }

  /// The share of successes among the last kSuccessesToRecover results, from 0 to 1. Missing results count as
  /// successes: at a node with little traffic the only result may be one failure.
  [[nodiscard]] double success_share() const;

  /// Whether the signal is degraded or its latest result was a failure.
  [[nodiscard]] bool is_suspect() const;

 private:
  std::deque<bool> latest_results_;  // oldest first
  bool is_healthy_ = true;
  int consecutive_equal_results_ = 0;  // up to and including the latest
};

}  // namespace dapplewharf
