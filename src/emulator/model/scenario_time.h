// Conversions between the times of a scenario, in seconds or milliseconds, and ticks of 0.1 ms. See
// docs/emulator.md.
#pragma once
#include "base/time.h"

namespace dapplewharf::emulator {

constexpr Duration from_seconds(double seconds) {
  return static_cast<Duration>(seconds * kSecond);
}
constexpr Duration from_milliseconds(double milliseconds) {
  return static_cast<Duration>(milliseconds * kMs);
}
constexpr double to_seconds(Duration time) {
  return static_cast<double>(time) / kSecond;
}

}  // namespace dapplewharf::emulator
