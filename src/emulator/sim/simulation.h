// Runs a scenario in virtual time, with one policy object for each node. The same scenario, seed and policy
// give the same result to the byte: no real clock is read and no thread is started. See docs/emulator.md.
#pragma once
#include "emulator/report/result.h"

namespace dapplewharf::emulator {

/// The extent of a run.
struct SimulationEffort {
  double virtual_s = 0;     // length of the run
  double connection_s = 0;  // time of all established connections together
};

/// Runs a scenario in virtual time.
/// @param policy one of policy_names().
/// @param effort set if it is not null.
Result simulate(const Scenario& scenario, std::uint64_t seed, const std::string& policy,
                SimulationEffort* effort = nullptr);

}  // namespace dapplewharf::emulator
