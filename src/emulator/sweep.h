// A sweep simulates a scenario for a grid of values, policies and seeds on all cores and compares the results
// in pairs of the same seed. The reports are stored in the sweep's folder, so that an interrupted sweep
// continues where it stopped.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "emulator/model/scenario.h"

namespace dapplewharf::emulator {

struct SweepOptions {
  std::string file;                                                    // of the scenario
  std::string output;                                                  // folder
  std::vector<std::pair<std::string, std::vector<std::string>>> vary;  // settings' names and their values
  std::vector<std::string> policies;  // the others are compared with the first
  std::uint64_t first_seed = 1, last_seed = 1;
  int jobs = 0;           // threads; 0: the number of cores
  bool progress = false;  // whether to show the progress on standard error
  bool json = false;      // whether to print the summary as JSON
};

struct ConfidenceInterval {
  double mean = 0, low = 0, high = 0;
};
/// The mean of paired differences and its 95% confidence interval by resampling.
ConfidenceInterval bootstrap(const std::vector<double>& differences, std::uint64_t seed);
/// A quantile, interpolated between neighbouring values; 0 where there are none.
double quantile(std::vector<double> values, double share);

/// Parses A..B, or A for one seed; throws BadInput.
std::pair<std::uint64_t, std::uint64_t> parse_seeds(const std::string& text);
/// Parses NAME=V1,V2; throws BadInput.
std::pair<std::string, std::vector<std::string>> parse_variation(const std::string& text);
/// Splits a text at its commas; empty parts are left out.
std::vector<std::string> split_at_commas(const std::string& text);

/// Simulates the runs that are not stored yet, writes summary.json and prints the table.
/// @return the exit code: 0 success, 1 interrupted, 3 a rule was violated.
int run_sweep(const SweepOptions& options);

}  // namespace dapplewharf::emulator
