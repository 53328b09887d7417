// The health of one endpoint as this node sees it: the score of its active signal (health checks) and its
// passive signal (outcomes of connections). Design: docs/design.md.
#pragma once
#include "base/time.h"
#include "policy/events.h"
#include "policy/health_signal.h"

namespace dapplewharf {

/// The best score that an endpoint can have.
inline constexpr double kFullScore = 100;

/// Where a health result comes from.
enum class SignalSource {
  active,  // health checks
  passive  // connection attempts, and connections that broke
};

/// Both health signals of an endpoint and the score that follows from them.
class EndpointHealth {
 public:
  /// Forgets all results, as for an endpoint that has restarted.
  /// @param inherited_score 0 to kFullScore, the most that the score may be until inheritance ends.
  void start_over(double inherited_score);

  /// Ends the limit that the inherited score sets.
  void end_inheritance() { inherited_score_ = kFullScore; }

  /// Adds a result to a signal.
  /// @return whether the signal turned from healthy to degraded or back.
  bool add_result(SignalSource source, bool succeeded);

  /// Notes how a health check ended, apart from its result: whether the endpoint gave any answer.
  void note_check_outcome(Outcome outcome);

  /// Notes that a connection has told something of the endpoint.
  void note_connection_outcome(TimePoint now) { last_connection_outcome_ = now; }

  /// Whether a good health check also counts for the passive signal. Without this an endpoint that gets no
  /// connections because of past failures would never be rated well again.
  [[nodiscard]] bool checks_count_as_connections(TimePoint now) const;

  /// From 0 to kFullScore; 0 when both signals are degraded, at most half when one of them is.
  [[nodiscard]] double score() const;

  /// Whether either signal is in doubt.
  [[nodiscard]] bool in_doubt() const { return active_.in_doubt() || passive_.in_doubt(); }

  /// Whether health checks fail, the latest of them without any answer.
  [[nodiscard]] bool unresponsive() const { return !active_.healthy() && last_check_unanswered_; }

  [[nodiscard]] const HealthSignal& signal(SignalSource source) const {
    return source == SignalSource::active ? active_ : passive_;
  }

 private:
  HealthSignal active_;
  HealthSignal passive_;
  double inherited_score_ = kFullScore;
  bool last_check_unanswered_ = false;
  TimePoint last_connection_outcome_ = 0;
};

}  // namespace dapplewharf
