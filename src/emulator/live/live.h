// The live driver plays a scenario on loopback sockets with the real node. It starts the nodes and the
// processes of the rig, ends all of them with the run, and checks the rules with the same auditor as the
// simulated driver.
#pragma once
#include <functional>
#include <stdexcept>

#include "emulator/report/result.h"

namespace dapplewharf::emulator {

struct LiveOptions {
  std::uint64_t seed = 1;
  std::string node;       // path of the node's program
  std::string out;        // folder for logs, configurations and records; empty: a temporary one
  bool progress = false;  // whether to show the progress on standard error
  /// Returns the value of SYSTEM_FAULTS for a node by its number; none: the variable is not set.
  std::function<std::string(int)> system_faults{};
};

/// The run could not be completed though the input was valid: a port was in use, a node did not start, or the
/// run was interrupted.
struct RunFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Plays a scenario; throws BadInput or RunFailed.
Result play_live(const Scenario& scenario, const LiveOptions& options);

}  // namespace dapplewharf::emulator
