// Turns the records of a live run into a result: replays them into the auditor and computes the figures. Has
// no side effects.
#pragma once
#include "emulator/live/record.h"
#include "emulator/report/result.h"

namespace dapplewharf::emulator {

/// The resources that one node's process had used at a time of the run.
struct Sample {
  TimePoint when = 0;
  double cpu_s = 0;
  long rss_kib = 0, descriptors = 0;
};

/// What the processes of a live run have left.
struct RunRecords {
  std::vector<Record> records;               // of all processes of the rig
  std::vector<std::vector<Sample>> samples;  // by node
};

Result make_result(const Scenario& scenario, const Plan& plan, std::uint64_t seed, RunRecords run_records);

/// Estimates the cost of each kind of work by least squares without negative costs.
/// @param work for each sample the amount of each kind.
/// @param totals for each sample the total cost.
/// @return the cost of one unit of each kind, never below 0.
std::vector<double> estimate_costs(const std::vector<std::vector<double>>& work,
                                   const std::vector<double>& totals);

}  // namespace dapplewharf::emulator
