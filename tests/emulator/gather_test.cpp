// Tests of how records become a result: estimated costs, and runs that are void.
#include "emulator/live/gather.h"

#include <gtest/gtest.h>

#include <cmath>

#include "emulator/model/chance.h"
#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

TEST(Gather, EstimatesTheCostOfEachKindOfWork) {
  std::vector<std::vector<double>> work;
  std::vector<double> cpu_s;
  RandomStream draws(3, "costs");
  for (int i = 0; i < 60; ++i) {
    work.push_back({std::floor(draws.uniform(0, 40)), std::floor(draws.uniform(0, 200)), 0.25});
    cpu_s.push_back(work.back()[0] * 150e-6 + work.back()[1] * 50e-6 + 0.25 * 0.02 + 1e-5 * draws.normal());
  }
  const auto costs = estimate_costs(work, cpu_s);
  EXPECT_NEAR(costs[0], 150e-6, 5e-6);
  EXPECT_NEAR(costs[1], 50e-6, 2e-6);
  EXPECT_NEAR(costs[2], 0.02, 0.001);
  for (double& sample_s : cpu_s) {
    sample_s = 0.001;  // independent of the work
  }
  for (const double cost : estimate_costs(work, cpu_s)) {
    EXPECT_GE(cost, 0);
  }
}

TEST(Gather, RunIsVoidIfTheRigWasLate) {
  World world;
  RunRecords run_records;
  run_records.records.push_back({100, RecordKind::event_loop_late, "", 190 * kMs, 0, 0});
  EXPECT_EQ(make_result(world.scenario, world.plan, 1, run_records).void_reason, "");
  run_records.records.push_back({200, RecordKind::event_loop_late, "", 1000 * kMs, 0, 0});
  EXPECT_NE(make_result(world.scenario, world.plan, 1, run_records).void_reason, "");
}

}  // namespace
}  // namespace dapplewharf::emulator
