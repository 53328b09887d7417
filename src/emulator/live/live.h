// The driver on sockets: the same scenario around the real program. Owns the processes it starts, by their
// ids, and leaves none behind; judges with the same auditor as the simulated driver.
#pragma once
#include <functional>
#include <stdexcept>

#include "emulator/report/result.h"

namespace dapplewharf::emulator {

struct LiveOptions {
  std::uint64_t seed = 1;
  std::string node;  // the program
  std::string out;   // folder for what the parts leave; empty: a temporary one
  bool progress = false;
  // What SYSTEM_FAULTS holds for each node that is started (tests/faults), by its number; none: not set.
  std::function<std::string(int)> system_faults{};
};

// The work could not be done, though the input was sound: a port in use, a node that does not start, an
// interruption.
struct RunFailed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

Result play_live(const Scenario& scenario, const LiveOptions& options);

}  // namespace dapplewharf::emulator
