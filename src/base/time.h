// The unit of all times and spans in this project. Reads no clock itself: EventLoop does, and the policy is
// told the time by its caller.
#pragma once
#include <cstdint>

namespace dapplewharf {

/// A span of monotonic time, in ticks of 0.1 ms.
using Duration = std::int64_t;
/// A point of monotonic time, in ticks of 0.1 ms since an arbitrary start.
using TimePoint = std::int64_t;

constexpr Duration kMs = 10;
constexpr Duration kSecond = 1000 * kMs;
/// Later than anything that is ever waited for.
constexpr TimePoint kNever = INT64_MAX / 2;

}  // namespace dapplewharf
