// The clock that policies see in a simulated run. See docs/emulator.md.
#pragma once
#include "emulator/model/scenario_time.h"

namespace dapplewharf::emulator {

/// The time on the policies' clock at the start of a run.
constexpr TimePoint kPolicyClockAtStart = 1000 * kSecond;

}  // namespace dapplewharf::emulator
