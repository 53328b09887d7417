// When the endpoint list service is asked: at the start, and again after calls that failed. The one place for
// these waits, for the policy and the node. Owns two figures of the settings; reads no clock, draws no chance
// and sends nothing. Times are in ticks of 0.1 ms, chance is from 0 to 1.
#pragma once
#include <algorithm>

#include "base/time.h"

namespace dapplewharf {

class Backoff {
 public:
  // Whatever happened to earlier calls, a node counts as notified of a change kToldWithin after the service
  // had it and could be reached. From the moment at which the service is back a node needs at most:
  //   to notice that its current call is lost      kPatience
  //   to wait before the next one                  kLongest
  //   to be served after all other nodes' calls    kTurn, what is left
  static constexpr Duration kToldWithin = 6 * kSecond;
  static constexpr Duration kPatience = 2 * kSecond;  // for an answer that was not asked to wait
  static constexpr Duration kLongest = 1500 * kMs;
  static constexpr Duration kTurn = kToldWithin - kPatience - kLongest;
  static constexpr Duration kFirst = 250 * kMs;  // after one failure; doubled with each further one
  static constexpr Duration kLeast = 50 * kMs;   // a service that refuses at once is not asked without end
  static constexpr Duration kShared =
      40 * kMs;  // between the calls of nodes that start together, as far as kLongest allows

  /// @param longest no wait is longer, where the settings allow less than kLongest.
  Backoff(double nodes, Duration longest) : nodes_(nodes), longest_(std::clamp(longest, kLeast, kLongest)) {}

  /// The wait before the first call. Nodes that start together share the service; until it has asked, a node
  /// may send to endpoints that were removed long ago.
  [[nodiscard]] Duration first(double chance) const {
    return part(std::min(static_cast<double>(kShared) * nodes_, static_cast<double>(longest_)), chance);
  }
  /// The wait after so many failed calls in a row, 1 at the least; random, so that nodes that failed together
  /// do not ask together.
  [[nodiscard]] Duration again(int losses, double chance) const {
    const Duration grown = std::min(kFirst << std::clamp(losses - 1, 0, 8), longest_);
    return std::max(kLeast, part(static_cast<double>(grown), 0.5 + chance / 2));
  }

 private:
  [[nodiscard]] static Duration part(double span, double share) {
    return static_cast<Duration>(span * share);
  }

  double nodes_;
  Duration longest_;
};

}  // namespace dapplewharf
