// Experiments: a grid of values, policies and seeds, played on all cores and compared in pairs. Owns the
// folder of an experiment and what is kept there for going on after an interruption; draws nothing but the
// bootstrap.
#pragma once
#include <string>
#include <utility>
#include <vector>

#include "emulator/model/scenario.h"

namespace dapplewharf::emulator {

struct Sweep {
  std::string file, out;
  std::vector<std::pair<std::string, std::vector<std::string>>> vary;  // names and their values
  std::vector<std::string> policies;
  std::uint64_t first = 1, last = 1;  // seeds
  int jobs = 0;                       // 0: as many as there are cores
  bool progress = false, json = false;
};

struct Interval {
  double mean = 0, low = 0, high = 0;
};
// Of paired differences: the mean and the middle 95% of what resampling gives.
Interval bootstrap(const std::vector<double>& differences, std::uint64_t seed);
double middle(std::vector<double> values, double share);  // of sorted values, between neighbours

std::pair<std::uint64_t, std::uint64_t> seeds_of(const std::string& text);          // A..B
std::pair<std::string, std::vector<std::string>> vary_of(const std::string& text);  // NAME=V1,V2
std::vector<std::string> words_of(const std::string& text);                         // at commas

// Plays what is missing and prints the table; the exit code.
int run_sweep(const Sweep& sweep);

}  // namespace dapplewharf::emulator
