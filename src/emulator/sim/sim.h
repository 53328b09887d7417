// The driver in virtual time: the model around one policy a node. Owns the clock and the order of events, and
// nothing that outlives a run; the same scenario, seed and policy give the same bytes. Never reads a clock or
// a thread.
#pragma once
#include "emulator/report/result.h"

namespace dapplewharf::emulator {

struct Effort {                            // what a run took
  double virtual_s = 0, connection_s = 0;  // the sum of standing connections over seconds
};

Result simulate(const Scenario& scenario, std::uint64_t seed, const std::string& policy,
                Effort* effort = nullptr);

}  // namespace dapplewharf::emulator
