// When a connection that was open at a host before this node started is dialled there again. Such a
// connection belongs to that host alone, so there is no choice of host; what is decided here is the time each
// attempt gets and the pause before the next one. Whether a further attempt is allowed at all (effects, ends,
// deadlines) is RequestLedger's to say. Pure: the caller gives the time; spans are in tenths of a
// millisecond.
#pragma once
#include <algorithm>
#include <optional>

#include "base/time.h"

namespace dapplewharf {

class ReconnectPolicy {
 public:
  // Protocol page: a connection from before the run that is not up after this is lost.
  static constexpr Tenths kAllowed = 40 * kSecond;
  // The first attempt's time, to connect and be answered; doubled with each further one. Long enough for two
  // lost SYNs (1 s, 3 s) and for the latest connections of the standing test (1.5 s).
  static constexpr Tenths kFirstAttempt = 4 * kSecond;
  static constexpr Tenths kLongestAttempt = 16 * kSecond;
  static constexpr Tenths kFirstPause = 20 * kMs;
  static constexpr Tenths kLongestPause = kSecond;
  // A host that no list names may be a bad client's invention, which is owed an error within 3 s; a list that
  // is on its way comes sooner.
  static constexpr Tenths kUnlisted = 2 * kSecond;

  ReconnectPolicy(Tenths begun, Tenths client_waits)
      : until_(begun + std::min(client_waits, kAllowed)), begun_(begun) {}

  Tenths until() const { return until_; }

  // The time of the attempt that begins now.
  Tenths attempt_time(Tenths now) const {
    const Tenths grown = std::min(kFirstAttempt << std::min(ended_, 4), kLongestAttempt);
    return std::clamp<Tenths>(until_ - now, 1, grown);
  }

  // The pause after an attempt that has ended; nothing when none can follow. `listed`: a list names the host.
  // `chance`: from 0 to 1, so that nodes which failed together do not come back together.
  std::optional<Tenths> pause(Tenths now, bool listed, double chance) {
    const Tenths grown = std::min(kFirstPause << std::min(ended_, 10), kLongestPause);
    ++ended_;
    const Tenths span = grown / 2 + static_cast<Tenths>(static_cast<double>(grown / 2) * chance);
    const Tenths last = listed ? until_ : std::min(until_, begun_ + kUnlisted);
    if (now + span >= last) {
      return std::nullopt;
    }
    return span;
  }

 private:
  Tenths until_, begun_;
  int ended_ = 0;  // attempts
};

}  // namespace dapplewharf
