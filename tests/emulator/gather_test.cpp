// From records to a result: costs by kind of work, and runs that count for nothing.
#include "emulator/live/gather.h"

#include <gtest/gtest.h>

#include <cmath>

#include "emulator/model/chance.h"
#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

TEST(Gather, TakesCostsApart) {
  std::vector<std::vector<double>> x;
  std::vector<double> y;
  RandomStream chance(3, "costs");
  for (int i = 0; i < 60; ++i) {
    x.push_back({std::floor(chance.uniform(0, 40)), std::floor(chance.uniform(0, 200)), 0.25});
    y.push_back(x.back()[0] * 150e-6 + x.back()[1] * 50e-6 + 0.25 * 0.02 + 1e-5 * chance.normal());
  }
  const auto costs = costs_of(x, y);
  EXPECT_NEAR(costs[0], 150e-6, 5e-6);
  EXPECT_NEAR(costs[1], 50e-6, 2e-6);
  EXPECT_NEAR(costs[2], 0.02, 0.001);
  for (double& one : y) {
    one = 0.001;  // nothing but time
  }
  for (const double cost : costs_of(x, y)) {
    EXPECT_GE(cost, 0);
  }
}

TEST(Gather, ARigThatWasHeldUpVoidsItsRun) {
  World world;
  Gathered gathered;
  gathered.records.push_back({100, Seen::late, "", 190 * kMs, 0, 0});
  EXPECT_EQ(result_of(world.scenario, world.plan, 1, gathered).void_because, "");
  gathered.records.push_back({200, Seen::late, "", 1000 * kMs, 0, 0});
  EXPECT_NE(result_of(world.scenario, world.plan, 1, gathered).void_because, "");
}

}  // namespace
}  // namespace dapplewharf::emulator
