// Constants that several rules of the load-balancing policy share, with their units. A constant that only one
// rule uses is defined in that rule's file.
#pragma once
#include "base/time.h"

namespace dapplewharf {

/// Shortest interval between two expirations of the policy's timer, and between two consecutive steps of a
/// rule that works step by step, such as shedding.
inline constexpr Duration kTimerInterval = 100 * kMs;

/// Consecutive failures that turn a health signal degraded. Also the number of failing endpoints from which
/// the cause may be a dependency that all endpoints share.
inline constexpr int kFailuresToDegrade = 3;

/// How long a condition of one endpoint (slow messages, dropped connections) stays in effect after its last
/// report. Such conditions are reported about once a second.
inline constexpr Duration kEndpointConditionLifetime = 1500 * kMs;

/// How long a condition of the whole fleet (a surge, a failing shared dependency) stays in effect after it
/// was last observed.
inline constexpr Duration kFleetConditionLifetime = 5 * kSecond;

/// Length of the window over which endpoint selections are counted.
inline constexpr Duration kSelectionWindow = 10 * kSecond;

/// A number of connections. Connection counts below it, and differences between counts smaller than it, are
/// too small to tell which endpoint has the higher load.
inline constexpr int kConnectionCountMargin = 2;

/// For a request whose affinity group has connections at an endpoint: the endpoint counts as over the mean if
/// its connections exceed the mean number of connections by this factor. Other requests use a smaller factor.
/// Slow start uses the same factor without gossip: it assumes that one endpoint may get this multiple of the
/// mean number of selections.
inline constexpr double kGroupOverMeanFactor = 4;

}  // namespace dapplewharf
