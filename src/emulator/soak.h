// The soak test plays many short scenarios on loopback sockets. Each is drawn from a seed and has random,
// overlapping faults of endpoints, nodes, clients, the endpoint list and the nodes' system calls and clocks.
// This part draws the scenarios and decides on each seed; the live driver plays them and the auditor checks
// the rules.
#pragma once
#include <string>

#include "emulator/live/live.h"

namespace dapplewharf::emulator {

struct SoakOptions {
  std::uint64_t first_seed = 1, last_seed = 10;
  std::string node;    // path of a node that is built with injectable system faults
  std::string output;  // folder in which the files of failed seeds are kept; empty: none are
  int jobs = 1;        // seeds played at a time
};

/// The scenario that a seed plays, in TOML; the same at each call.
std::string soak_scenario_text(std::uint64_t seed);
/// The value of SYSTEM_FAULTS for a node; the same at each call.
std::string soak_system_faults(std::uint64_t seed, int node);

/// Counts the lines in the files of a folder of nodes' logs that report a fault of the node: steps that its
/// request ledger refused, exceptions that its event loop caught, and findings of a sanitizer.
int count_violations_in_logs(const std::string& folder);

/// Plays all seeds and prints one line for each and a last line with their counts.
/// @return the exit code: 0 if all seeds passed, 1 if a run failed, 3 if a rule was violated.
int run_soak(const SoakOptions& options);

}  // namespace dapplewharf::emulator
