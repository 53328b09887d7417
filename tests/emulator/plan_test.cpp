// Plans depend on the scenario and the seed alone, and clients retry as the scenario says.
#include "emulator/model/plan.h"

#include <gtest/gtest.h>

#include "small_world.h"

namespace dapplewharf::emulator {
namespace {

TEST(Plan, DependsOnTheSeedAndAFaultChangesNoDrawOfClients) {
  World world;
  EXPECT_EQ(make_plan(world.scenario, 4).hash, make_plan(world.scenario, 4).hash);
  EXPECT_NE(make_plan(world.scenario, 4).hash, make_plan(world.scenario, 5).hash);
  const auto before = make_plan(world.scenario, 4);
  world.scenario.faults.push_back({});
  world.scenario.faults[0].name = "slow", world.scenario.faults[0].share = 0.5;
  const auto after = make_plan(world.scenario, 4);
  EXPECT_NE(before.hash, after.hash);
  EXPECT_EQ(before.sessions.back().seed, after.sessions.back().seed)
      << "a fault changed the draws for clients";
}

TEST(Plan, ClientsRetryAsTheScenarioSays) {
  World world;
  Session session;
  session.seed = 5, session.honours_retry_after = true;
  Scenario& scenario = world.scenario;
  EXPECT_EQ(retry_delay_ms(scenario, session, Reply::rejected, 700, 1, 1), 700);
  session.honours_retry_after = false;
  const double first = retry_delay_ms(scenario, session, Reply::rejected, 700, 1, 1);
  EXPECT_GE(first, scenario.backoff_ms / 2);
  EXPECT_DOUBLE_EQ(retry_delay_ms(scenario, session, Reply::rejected, 0, 2, 1), 2 * first);
  EXPECT_GE(retry_delay_ms(scenario, session, Reply::rejected, 0, 3, 1), 2500)
      << "its quick retries are used up";
  scenario.backoff = "at_once";
  EXPECT_LT(retry_delay_ms(scenario, session, Reply::failed, 0, 1, 1), 10);
  scenario.backoff = "none";
  EXPECT_GE(retry_delay_ms(scenario, session, Reply::failed, 0, 1, 1), 2500);
}

}  // namespace
}  // namespace dapplewharf::emulator
