// The schedule on which this node reconnects an adopted connection, which was open at an endpoint before this
// node started, to the same endpoint. Only that endpoint holds the connection's state, so no endpoint is
// chosen; this policy decides the timeout of each attempt and the pause before the next one. RequestLedger
// decides whether another attempt is allowed at all. Pure: the caller passes the time and random fractions;
// times are in ticks of 0.1 ms.
#pragma once
#include <algorithm>
#include <optional>

#include "base/time.h"

namespace dapplewharf {

/// The reconnection of one adopted connection.
class ReconnectPolicy {
 public:
  // The protocol counts an adopted connection as lost if it is not established within this time.
  static constexpr Duration kReconnectTimeout = 40 * kSecond;
  // The timeout of the first attempt, from the start of connecting to the endpoint's answer. It doubles with
  // each further attempt, and is long enough for an attempt that loses two SYN packets to succeed.
  static constexpr Duration kInitialAttemptTimeout = 4 * kSecond;
  static constexpr Duration kMaxAttemptTimeout = 16 * kSecond;
  static constexpr Duration kInitialPause = 20 * kMs;
  static constexpr Duration kMaxPause = kSecond;
  // After this time no further attempt starts if no endpoint list names the endpoint, so that a client that
  // named a wrong endpoint soon gets an error.
  static constexpr Duration kUnlistedEndpointTimeout = 2 * kSecond;

  /// @param started_at when the reconnection starts.
  /// @param client_timeout how long the client waits from then on.
  ReconnectPolicy(TimePoint started_at, Duration client_timeout)
      : deadline_(started_at + std::min(client_timeout, kReconnectTimeout)), started_at_(started_at) {}

  [[nodiscard]] TimePoint deadline() const { return deadline_; }

  /// The time that is left for the reconnection, at least 1 tick.
  [[nodiscard]] Duration time_left(TimePoint now) const { return std::max<Duration>(1, deadline_ - now); }

  /// The timeout of an attempt that starts now and that another one may follow.
  [[nodiscard]] Duration attempt_timeout(TimePoint now) const {
    const Duration backoff =
        std::min(kInitialAttemptTimeout << std::min(ended_attempts_, 4), kMaxAttemptTimeout);
    return std::clamp<Duration>(deadline_ - now, 1, backoff);
  }

  /// Records the end of an attempt.
  /// @param is_listed an endpoint list names the endpoint.
  /// @param random_fraction from 0 to 1; spreads the attempts of nodes whose attempts failed together.
  /// @return the pause before the next attempt; nothing if no time is left for one.
  [[nodiscard]] std::optional<Duration> next_pause(TimePoint now, bool is_listed, double random_fraction) {
    const Duration backoff = std::min(kInitialPause << std::min(ended_attempts_, 10), kMaxPause);
    ++ended_attempts_;
    const Duration pause =
        backoff / 2 + static_cast<Duration>(static_cast<double>(backoff / 2) * random_fraction);
    const TimePoint last_start =
        is_listed ? deadline_ : std::min(deadline_, started_at_ + kUnlistedEndpointTimeout);
    if (now + pause >= last_start) {
      return std::nullopt;
    }
    return pause;
  }

 private:
  TimePoint deadline_, started_at_;
  int ended_attempts_ = 0;
};

}  // namespace dapplewharf
