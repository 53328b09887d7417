// The unit of all times and spans here. Knows no clock itself; EventLoop reads one.
#pragma once
#include <cstdint>

namespace dapplewharf {

using Tenths = std::int64_t;  // a time or a span, in whole tenths of a millisecond

constexpr Tenths kMs = 10;
constexpr Tenths kSecond = 1000 * kMs;

}  // namespace dapplewharf
