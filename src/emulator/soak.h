// The soak: many short scenarios on loopback sockets, each drawn from a seed, with faults that overlap at
// random at hosts, nodes, clients, the list and below the nodes (system calls and clocks). Owns the drawing
// and the verdict of a seed; the run itself and the rules are live's and the auditor's.
#pragma once
#include <string>

#include "emulator/live/live.h"

namespace dapplewharf::emulator {

struct Soak {
  std::uint64_t first = 1, last = 10;  // seeds
  std::string node;  // a node built with tests/faults; the faults below it are drawn as well
  std::string out;   // folder for what is kept of failed seeds; empty: none
  int jobs = 1;      // seeds at a time
};

// What a seed plays: the same at each call.
std::string soak_scenario_text(std::uint64_t seed);
std::string soak_system_faults(std::uint64_t seed, int node);

/// Counts the lines in the files of a folder of nodes' logs that report a fault of the node: steps that its
/// request ledger refused, exceptions that its event loop caught, and findings of a sanitizer.
int count_violations_in_logs(const std::string& folder);

// One line a seed, and a last one that counts. Returns the exit code: 0 good, 1 a run failed, 3 a rule was
// broken.
int run_soak(const Soak& soak);

}  // namespace dapplewharf::emulator
