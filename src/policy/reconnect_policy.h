// When a connection that stood at an endpoint before this node started is connected there again. Such a
// connection belongs to that endpoint alone, so no endpoint is chosen; what is decided here is the time of
// each attempt and the pause before the next one. Whether another attempt is allowed at all is
// RequestLedger's to say. Pure: the caller gives the time and the chance; times are in ticks of 0.1 ms.
#pragma once
#include <algorithm>
#include <optional>

#include "base/time.h"

namespace dapplewharf {

class ReconnectPolicy {
 public:
  // An adopted connection that is not established after this time counts as lost (protocol).
  static constexpr Duration kAllowed = 40 * kSecond;
  // The first attempt's time, to connect and be answered; doubled with each further one. Allows for two lost
  // SYNs.
  static constexpr Duration kFirstAttempt = 4 * kSecond;
  static constexpr Duration kLongestAttempt = 16 * kSecond;
  static constexpr Duration kFirstPause = 20 * kMs;
  static constexpr Duration kLongestPause = kSecond;
  // For an endpoint that no list names: a client that named a wrong one is to have its error soon.
  static constexpr Duration kUnlisted = 2 * kSecond;

  ReconnectPolicy(Duration begun, Duration client_waits)
      : until_(begun + std::min(client_waits, kAllowed)), begun_(begun) {}

  [[nodiscard]] Duration until() const { return until_; }

  /// The timeout of an attempt that begins now.
  [[nodiscard]] Duration attempt_time(Duration now) const {
    const Duration grown = std::min(kFirstAttempt << std::min(ended_, 4), kLongestAttempt);
    return std::clamp<Duration>(until_ - now, 1, grown);
  }

  /// The pause after an attempt that has ended; nothing when none can follow.
  /// @param listed a list names the endpoint.
  /// @param chance from 0 to 1, so that nodes that failed together do not come back together.
  [[nodiscard]] std::optional<Duration> pause(Duration now, bool listed, double chance) {
    const Duration grown = std::min(kFirstPause << std::min(ended_, 10), kLongestPause);
    ++ended_;
    const Duration span = grown / 2 + static_cast<Duration>(static_cast<double>(grown / 2) * chance);
    const Duration last = listed ? until_ : std::min(until_, begun_ + kUnlisted);
    if (now + span >= last) {
      return std::nullopt;
    }
    return span;
  }

 private:
  Duration until_, begun_;
  int ended_ = 0;  // attempts
};

}  // namespace dapplewharf
