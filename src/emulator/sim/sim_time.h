// Conversions from a scenario's times to the clock of a simulated run. Owns nothing. See docs/emulator.md.
#pragma once
#include "base/time.h"

namespace dapplewharf::emulator {

/// What the policies' clock shows when a run begins.
constexpr TimePoint kPolicyClockAtStart = 1000 * kSecond;

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
