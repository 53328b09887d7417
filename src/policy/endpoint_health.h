// The health of one endpoint as observed by this node: the score that follows from its active signal (health
// checks) and its passive signal (outcomes of connection attempts and connections). Design: docs/design.md.
#pragma once
#include "base/time.h"
#include "policy/events.h"
#include "policy/health_signal.h"

namespace dapplewharf {

/// The highest health score.
inline constexpr double kMaxScore = 100;

/// Where a health result comes from.
enum class SignalSource {
  active,  // health checks
  passive  // connection attempts, and established connections that broke
};

/// Both health signals of an endpoint and its health score.
class EndpointHealth {
 public:
  /// Clears both signals, for an endpoint that is new or has restarted.
  /// @param score_limit the highest score, 0 to kMaxScore, until lift_score_limit() is called.
  void reset(double score_limit);

  /// Removes the limit on the score that reset() has set.
  void lift_score_limit() { score_limit_ = kMaxScore; }

  /// Adds a result to a signal.
  /// @return whether the signal changed from healthy to degraded or back.
  bool add_result(SignalSource source, bool succeeded);

  /// Records whether the endpoint gave any answer to a health check. The result itself goes to add_result().
  void record_check_outcome(Outcome outcome);

  /// Records that an attempt or connection has ended with an outcome that depends on the endpoint, rather
  /// than on the client or this node.
  void record_connection_outcome(TimePoint now) { last_connection_outcome_ = now; }

  /// Whether a successful health check also counts as a success of the passive signal. Otherwise an endpoint
  /// that gets no connections because of past failures would never recover.
  [[nodiscard]] bool checks_count_for_passive_signal(TimePoint now) const;

  /// The health score, from 0 to kMaxScore: 0 when both signals are degraded, at most half of kMaxScore when
  /// one of them is.
  [[nodiscard]] double score() const;

  /// Whether either signal is suspect.
  [[nodiscard]] bool is_suspect() const { return active_.is_suspect() || passive_.is_suspect(); }

  /// Whether the active signal is degraded and the latest health check got no answer.
  [[nodiscard]] bool is_unresponsive() const { return !active_.is_healthy() && was_last_check_unanswered_; }

  [[nodiscard]] const HealthSignal& signal(SignalSource source) const {
    return source == SignalSource::active ? active_ : passive_;
  }

 private:
  HealthSignal active_;
  HealthSignal passive_;
  double score_limit_ = kMaxScore;
  bool was_last_check_unanswered_ = false;
  TimePoint last_connection_outcome_ = 0;
};

}  // namespace dapplewharf
