// One of the two health signals of an endpoint: its last results, and whether the endpoint counts as healthy
// by them. A signal turns only after several equal results in a row, so that a single failure ejects nobody.
// Design: docs/design.md.
#pragma once
#include <cstddef>
#include <deque>

namespace dapplewharf {

/// Results in a row that turn a degraded signal healthy; also the number of results that the share looks at.
inline constexpr int kSuccessesToRecover = 12;

/// The recent results of one source (health checks or connection attempts) and the verdict on them.
class HealthSignal {
 public:
  /// Adds a result.
  /// @return whether the verdict changed with it.
  bool add(bool succeeded);

  /// The verdict: healthy until a run of failures, degraded until a run of successes.
  [[nodiscard]] bool healthy() const { return healthy_; }

  /// The share of successes among the last results, from 0 to 1. Results that have not been seen count as
  /// successes: at a node with little traffic one failure may be all there is.
  [[nodiscard]] double success_share() const;

  /// Whether the signal is degraded or its latest result was a failure.
  [[nodiscard]] bool in_doubt() const;

 private:
  std::deque<bool> results_;  // oldest first
  bool healthy_ = true;
  int equal_results_ = 0;  // in a row, up to the latest
};

}  // namespace dapplewharf
