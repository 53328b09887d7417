// From records to a result: replays what the rig saw into the auditor and works out the figures. Pure.
#pragma once
#include "emulator/live/record.h"
#include "emulator/report/result.h"

namespace dapplewharf::emulator {

struct Sample {  // of one node's process
  TimePoint when = 0;
  double cpu_s = 0;
  long rss_kib = 0, descriptors = 0;
};

struct Gathered {
  std::vector<Record> records;               // of all parts
  std::vector<std::vector<Sample>> samples;  // by node
};

Result result_of(const Scenario& scenario, const Plan& plan, std::uint64_t seed, Gathered gathered);

// Cost of each kind of work by least squares over samples: what x (per row) takes of y. Never below 0.
std::vector<double> costs_of(const std::vector<std::vector<double>>& x, const std::vector<double>& y);

}  // namespace dapplewharf::emulator
