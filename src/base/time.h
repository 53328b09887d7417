// The types and the unit of all times and durations in this project. No clock is read here: EventLoop reads
// it, and the policy receives the time from its caller.
#pragma once
#include <cstdint>

namespace dapplewharf {

/// A duration, in ticks of 0.1 ms.
using Duration = std::int64_t;
/// A point of monotonic time, in ticks of 0.1 ms since an arbitrary origin.
using TimePoint = std::int64_t;

/// Ticks per millisecond.
constexpr Duration kMs = 10;
/// Ticks per second.
constexpr Duration kSecond = 1000 * kMs;
/// A time that is never reached; half of the largest value, so that adding a duration does not overflow.
constexpr TimePoint kNever = INT64_MAX / 2;

}  // namespace dapplewharf
