// Conversions from a scenario's times to the clock of a simulated run. Owns nothing. See docs/emulator.md.
#pragma once
#include "base/time.h"

namespace dapplewharf::emulator {

/// What the policies' clock shows when a run begins.
constexpr Tenths kPolicyClockAtStart = 1000 * kSecond;

constexpr Tenths from_seconds(double seconds) {
  return static_cast<Tenths>(seconds * kSecond);
}
constexpr Tenths from_milliseconds(double milliseconds) {
  return static_cast<Tenths>(milliseconds * kMs);
}
constexpr double to_seconds(Tenths time) {
  return static_cast<double>(time) / kSecond;
}

}  // namespace dapplewharf::emulator
