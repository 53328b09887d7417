// The waits before calls to the endpoint list service: before the first call at the start, and before the
// next one after failed calls. Both the policy and the node use them. Pure: reads no clock, draws no random
// numbers and sends nothing. Times are in ticks of 0.1 ms, random fractions from 0 to 1.
#pragma once
#include <algorithm>

#include "base/time.h"

namespace dapplewharf {

/// Computes the waits before calls to the endpoint list service.
class Backoff {
 public:
  // A node counts as notified of a change kNotificationLimit after the service had the change and could be
  // reached, even if the node's calls failed before. A node therefore has to receive the list within that
  // time, which consists of at most:
  //   kResponseTimeout  to notice that its current call is lost
  //   kMaxWait          to wait before the next call
  //   kQueueingTime     to be served after the calls of all other nodes
  static constexpr Duration kNotificationLimit = 6 * kSecond;
  static constexpr Duration kResponseTimeout =
      2 * kSecond;  // except for watches, which the service may hold open
  static constexpr Duration kMaxWait = 1500 * kMs;
  static constexpr Duration kQueueingTime = kNotificationLimit - kResponseTimeout - kMaxWait;
  static constexpr Duration kInitialWait = 250 * kMs;  // after one failure; doubles with each further one
  static constexpr Duration kMinWait =
      50 * kMs;  // limits the rate of calls to a service that refuses at once
  // Mean interval between the first calls of nodes that start together; shorter if the longest wait requires
  // it.
  static constexpr Duration kStartSpacing = 40 * kMs;

  /// @param node_count nodes that share the service.
  /// @param max_wait no wait is longer; values outside kMinWait to kMaxWait are clamped.
  Backoff(double node_count, Duration max_wait)
      : node_count_(node_count), max_wait_(std::clamp(max_wait, kMinWait, kMaxWait)) {}

  /// The wait before the first call. It is short because until that call a node may send requests to
  /// endpoints that have been removed, and random because nodes that start together share the service.
  [[nodiscard]] Duration initial_wait(double random_fraction) const {
    return share_of(
        std::min(static_cast<double>(kStartSpacing) * node_count_, static_cast<double>(max_wait_)),
        random_fraction);
  }
  /// The wait after failed calls; random, so that nodes whose calls failed together don't call together
  /// again.
  /// @param failures failed calls in a row, at least 1.
  [[nodiscard]] Duration retry_wait(int failures, double random_fraction) const {
    const Duration backoff = std::min(kInitialWait << std::clamp(failures - 1, 0, 8), max_wait_);
    return std::max(kMinWait, share_of(static_cast<double>(backoff), 0.5 + random_fraction / 2));
  }

 private:
  [[nodiscard]] static Duration share_of(double duration, double share) {
    return static_cast<Duration>(duration * share);
  }

  double node_count_;
  Duration max_wait_;
};

}  // namespace dapplewharf
