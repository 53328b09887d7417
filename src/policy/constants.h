// Constants that several rules of the load-balancing policy share, with their units. A constant that only one
// rule uses is defined in that rule's file.
#pragma once
#include "base/time.h"

namespace dapplewharf {

/// Shortest interval between two expirations of the policy's timer, and between two steps of a rule that acts
/// in steps.
inline constexpr Duration kTimerInterval = 100 * kMs;

/// Consecutive failures that turn a health signal degraded. Also the number of failing endpoints from which
/// the cause may be a dependency that all endpoints share.
inline constexpr int kFailuresToDegrade = 3;

/// How long a condition of one endpoint (slow messages, dropped connections) counts after its last report.
/// Such conditions are reported about once a second.
inline constexpr Duration kEndpointConditionLifetime = 1500 * kMs;

/// How long a condition of most endpoints (a surge, a failing shared dependency) counts after it was last
/// observed.
inline constexpr Duration kFleetConditionLifetime = 5 * kSecond;

/// Length of the window over which endpoint selections are counted.
inline constexpr Duration kSelectionWindow = 10 * kSecond;

/// Connections. Counts below it, and differences smaller than it, are too small to compare load by.
inline constexpr int kConnectionCountMargin = 2;

/// Multiple of the mean number of connections above which an endpoint is over the mean for a request whose
/// affinity group has connections there. Other requests use a lower multiple. Slow start assumes the same
/// concentration of selections on one endpoint if gossip is missing.
inline constexpr double kGroupOverMeanFactor = 4;

}  // namespace dapplewharf
