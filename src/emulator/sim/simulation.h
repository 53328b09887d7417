// One run in virtual time: the model around one policy a node. Owns the clock, the order of events and all
// parts, and nothing that outlives a run; the same scenario, seed and policy give the same bytes. Never reads
// a clock and starts no thread. See docs/emulator.md.
#pragma once
#include "emulator/report/result.h"

namespace dapplewharf::emulator {

/// What a run took.
struct SimulationEffort {
  double virtual_s = 0;     // length of the run
  double connection_s = 0;  // the sum of established connections over seconds
};

/// Plays a scenario in virtual time.
/// @param policy one of policy_names().
/// @param effort set where it is not null.
Result simulate(const Scenario& scenario, std::uint64_t seed, const std::string& policy,
                SimulationEffort* effort = nullptr);

}  // namespace dapplewharf::emulator
