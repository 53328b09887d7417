// Constants that several rules of the load-balancing policy share, with their units. Constants of one rule
// stand in its own file.
#pragma once
#include "base/time.h"

namespace dapplewharf {

/// The policy's timer fires no oftener, and a rule that acts in steps takes no shorter ones.
inline constexpr Duration kTimerInterval = 100 * kMs;

/// Failures in a row that degrade a health signal; failing endpoints that may point to a shared dependency.
inline constexpr int kFailuresToDegrade = 3;

/// A condition of an endpoint that is reported about once a second (slow messages, dropped connections)
/// counts for this long after the last report.
inline constexpr Duration kConditionHeld = 1500 * kMs;

/// A condition of most endpoints (surge, failing shared dependency) counts for this long after it was last
/// seen.
inline constexpr Duration kFleetConditionHeld = 5 * kSecond;

/// Selections of endpoints are counted over this window.
inline constexpr Duration kSelectionWindow = 10 * kSecond;

/// Connections over the mean from which an endpoint, or a node, counts as holding more than others.
inline constexpr int kConnectionsOverMean = 2;

/// Times the mean from which an endpoint is well over it for a request whose affinity group it holds.
inline constexpr double kWellOverMeanForGroup = 4;

}  // namespace dapplewharf
