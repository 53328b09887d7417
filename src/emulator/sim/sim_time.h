// The clock of a simulated run, as its policies see it. Owns nothing. See docs/emulator.md.
#pragma once
#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {

/// What the policies' clock shows when a run begins.
constexpr TimePoint kPolicyClockAtStart = 1000 * kSecond;

}  // namespace dapplewharf::emulator
