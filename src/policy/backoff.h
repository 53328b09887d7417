// When the list service is asked: first, and again after calls to it that were lost. The one place for these
// waits, for the decision module and the node; only while what a silent watch or a place left behind has
// missed counts as told soon does the connection to that service ask again by itself (node/discovery). Owns
// two figures of the settings; reads no clock, draws no chance and asks nobody itself. Spans are in tenths of
// a millisecond, shares of chance from 0 to 1.
#pragma once
#include <algorithm>

#include "base/time.h"

namespace dapplewharf {

class Backoff {
 public:
  // Operators' term: whatever happened to calls before, a change counts as told so long after the service had
  // it and could be reached. What a node may need from the instant on at which the service is back adds up to
  // no more:
  //   noticing that the call that is out is lost   kPatience
  //   the wait before the next one                 kLongest
  //   that one's turn behind all other nodes'      kTurn, what is left
  static constexpr Tenths kToldWithin = 6 * kSecond;
  static constexpr Tenths kPatience = 2 * kSecond;  // for an answer that was not asked to wait
  static constexpr Tenths kLongest = 1500 * kMs;
  static constexpr Tenths kTurn = kToldWithin - kPatience - kLongest;
  static constexpr Tenths kFirst = 250 * kMs;  // after one loss; twice as long after each further one
  static constexpr Tenths kLeast = 50 * kMs;   // danger: a place that refuses at once is asked without end
  static constexpr Tenths kShared =
      40 * kMs;  // nodes that start together ask so far apart, while kLongest allows

  // `most`: no wait is longer, where the settings allow less than kLongest.
  Backoff(double nodes, Tenths most) : nodes_(nodes), most_(std::clamp(most, kLeast, kLongest)) {}

  // Before the first call of a node that starts. Danger: all that start together are in one queue; but until
  // it has asked, a node sends to hosts that left long ago.
  Tenths first(double chance) const {
    return part(std::min(static_cast<double>(kShared) * nodes_, static_cast<double>(most_)), chance);
  }
  // After so many lost calls in a row, 1 at the least. Danger: whoever lost together must not ask together.
  Tenths again(int losses, double chance) const {
    const Tenths grown = std::min(kFirst << std::clamp(losses - 1, 0, 8), most_);
    return std::max(kLeast, part(static_cast<double>(grown), 0.5 + chance / 2));
  }

 private:
  static Tenths part(double span, double share) { return static_cast<Tenths>(span * share); }

  double nodes_;
  Tenths most_;
};

}  // namespace dapplewharf
