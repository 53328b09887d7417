// Plans: one seed gives one plan, and clients come again as the scenario says.
#include "emulator/model/plan.h"

#include <gtest/gtest.h>

#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

TEST(Plan, IsTheSameForOneSeedAndNotForAnother) {
  World world;
  EXPECT_EQ(plan_of(world.scenario, 4).hash, plan_of(world.scenario, 4).hash);
  EXPECT_NE(plan_of(world.scenario, 4).hash, plan_of(world.scenario, 5).hash);
  const auto before = plan_of(world.scenario, 4);
  world.scenario.faults.push_back({});
  world.scenario.faults[0].name = "slow", world.scenario.faults[0].share = 0.5;
  const auto after = plan_of(world.scenario, 4);
  EXPECT_NE(before.hash, after.hash);
  EXPECT_EQ(before.sessions.back().seed, after.sessions.back().seed) << "a trouble moves no client's draw";
}

TEST(Plan, ClientsComeAgainInTheirManner) {
  World world;
  Session session;
  session.seed = 5, session.honours = true;
  Scenario& scenario = world.scenario;
  EXPECT_EQ(comes_again_ms(scenario, session, Reply::busy, 700, 1, 1), 700);
  session.honours = false;
  const double first = comes_again_ms(scenario, session, Reply::busy, 700, 1, 1);
  EXPECT_GE(first, scenario.backoff_ms / 2);
  EXPECT_DOUBLE_EQ(comes_again_ms(scenario, session, Reply::busy, 0, 2, 1), 2 * first);
  EXPECT_GE(comes_again_ms(scenario, session, Reply::busy, 0, 3, 1), 2500) << "its tries are used up";
  scenario.backoff = "at_once";
  EXPECT_LT(comes_again_ms(scenario, session, Reply::other, 0, 1, 1), 10);
  scenario.backoff = "none";
  EXPECT_GE(comes_again_ms(scenario, session, Reply::other, 0, 1, 1), 2500);
}

}  // namespace
}  // namespace dapplewharf::emulator
